#include "policy/answer.h"

#include <assert.h>

static const struct {
	const char *name;
	bool whole;
} lines[ANSWER_LINE_COUNT] = {
	[ANSWER_WHOLE] = {"whole", true},
	[ANSWER_TAKEN_FOR_WHOLE] = {"ends with its connection", true},
	[ANSWER_CUT] = {"cut off", false},
	[ANSWER_MALFORMED] = {"malformed", false},
	[ANSWER_TOO_LONG] = {"too long", false},
	[ANSWER_SILENT] = {"silent", false},
	[ANSWER_REJECTED] = {"rejected", false},
	[ANSWER_WITHIN_EVENT] = {"within an event", false},
	[ANSWER_NO_EVENT] = {"no event", false},
	[ANSWER_NO_BODY] = {"no body", false},
	[ANSWER_RELAY_UNFRAMED] = {"relay without framing", false},
};

static const answer_line_t line_of_stop[] = {
	[ANSWER_STOP_END] = ANSWER_WHOLE,	    [ANSWER_STOP_CUT] = ANSWER_CUT,
	[ANSWER_STOP_MALFORMED] = ANSWER_MALFORMED, [ANSWER_STOP_TOO_LONG] = ANSWER_TOO_LONG,
	[ANSWER_STOP_SILENT] = ANSWER_SILENT,	    [ANSWER_STOP_REJECTED] = ANSWER_REJECTED,
};

answer_line_t answer_judge(const answer_end_t *a)
{
	if (a->stop != ANSWER_STOP_END)
		return line_of_stop[a->stop];
	if (a->relayed && !a->framed)
		return ANSWER_RELAY_UNFRAMED;
	if (a->stream && a->partial_bytes > 0)
		return ANSWER_WITHIN_EVENT;
	if (a->framed)
		return ANSWER_WHOLE;
	if (a->stream && a->events == 0)
		return ANSWER_NO_EVENT;
	if (!a->stream && a->success && a->body_bytes == 0)
		return ANSWER_NO_BODY;
	return ANSWER_TAKEN_FOR_WHOLE;
}

bool answer_is_whole(answer_line_t line)
{
	assert(line < ANSWER_LINE_COUNT);
	return lines[line].whole;
}

const char *answer_line_name(answer_line_t line)
{
	assert(line < ANSWER_LINE_COUNT);
	return lines[line].name;
}
