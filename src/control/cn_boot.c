#include <jansson.h>
#include <string.h>
#include <sys/stat.h>
#include "base/lg.h"
#include "control/cn.h"

#define ASK_MS	  1000
#define RETRY_MS  200
#define LOG_EVERY 50

static bool folder_exists(cn_t *cn)
{
	AUTO_BUF path = {0};
	struct stat sb;

	buf_addf(&path, "%s/group-0", cn->s.data);
	return stat(path.p, &sb) == 0;
}

/* "fresh", "seeded" or "member"; empty when the process doesn't answer. */
static void ask_state(cn_t *cn, size_t i, char out[16])
{
	AUTO_BUF text = {0};
	json_t *o;
	const char *state;

	out[0] = 0;
	if (cc_status(cn->cc, i, &text, clk_now_ms() + ASK_MS) != ST_OK)
		return;
	o = json_loadb(text.p, text.n, 0, NULL);
	state = json_string_value(json_object_get(o, "state"));
	snprintf(out, 16, "%s", state ? state : "");
	json_decref(o);
}

static bool is_founder(cn_t *cn)
{
	for (size_t i = 0; i < cn->s.controls.n; i++) {
		if (strcmp(cn->s.controls.v[i], cn->s.listen) == 0)
			return true;
	}
	return false;
}

/*
 * A VM that lost its disk must not vote again, so a new folder founds a fleet only when every other
 * control process was asked and none of them holds state. One that holds some: join it.
 */
cn_boot_t cn_boot_decide(cn_t *cn, bool bootstrap)
{
	if (folder_exists(cn))
		return CN_BOOT_MEMBER;
	if (!bootstrap || !is_founder(cn))
		return CN_BOOT_JOIN;
	for (unsigned round = 0;; round++) {
		size_t blank = 0;

		for (size_t i = 0; i < cn->s.controls.n; i++) {
			char state[16];

			if (strcmp(cc_addr(cn->cc, i), cn->s.listen) == 0) {
				blank++;
				continue;
			}
			ask_state(cn, i, state);
			if (strcmp(state, "member") == 0)
				return CN_BOOT_JOIN;
			blank += state[0] != 0;
		}
		if (blank == cn->s.controls.n)
			return CN_BOOT_NEW_FLEET;
		if (round % LOG_EVERY == 0)
			lg(LG_INFO, "waiting_for_founders", LG_I("answered", blank),
			   LG_I("of", cn->s.controls.n));
		clk_sleep_ms(RETRY_MS);
	}
}
