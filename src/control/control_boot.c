#include <jansson.h>
#include <string.h>
#include <sys/stat.h>
#include "base/log.h"
#include "control/control.h"

#define ASK_MS	  1000
#define RETRY_MS  200
#define LOG_EVERY 50

static bool folder_exists(control_t *cn)
{
	AUTO_BUF path = {0};
	struct stat sb;

	buf_addf(&path, "%s/group-0", cn->settings.data);
	return stat(path.p, &sb) == 0;
}

/* "fresh", "seeded" or "member"; empty when the process doesn't answer. */
static void ask_state(control_t *cn, size_t i, char out[16])
{
	AUTO_BUF text = {0};
	json_t *o;
	const char *state;

	out[0] = 0;
	if (control_client_status(cn->client, i, &text, clock_now_ms() + ASK_MS) != STATUS_OK)
		return;
	o = json_loadb(text.p, text.n, 0, NULL);
	state = json_string_value(json_object_get(o, "state"));
	snprintf(out, 16, "%s", state ? state : "");
	json_decref(o);
}

static bool is_founder(control_t *cn)
{
	for (size_t i = 0; i < cn->settings.controls.n; i++) {
		if (strcmp(cn->settings.controls.v[i], cn->settings.listen) == 0)
			return true;
	}
	return false;
}

/*
 * A VM that lost its disk must not vote again, so a new folder founds a fleet only when every other
 * control process was asked and none of them holds state. One that holds some: join it.
 */
control_boot_t control_boot_decide(control_t *cn, bool bootstrap)
{
	if (folder_exists(cn))
		return CONTROL_BOOT_MEMBER;
	if (!bootstrap || !is_founder(cn))
		return CONTROL_BOOT_JOIN;
	for (unsigned round = 0;; round++) {
		size_t blank = 0;

		for (size_t i = 0; i < cn->settings.controls.n; i++) {
			char state[16];

			if (strcmp(control_client_addr(cn->client, i), cn->settings.listen) == 0) {
				blank++;
				continue;
			}
			ask_state(cn, i, state);
			if (strcmp(state, "member") == 0)
				return CONTROL_BOOT_JOIN;
			blank += state[0] != 0;
		}
		if (blank == cn->settings.controls.n)
			return CONTROL_BOOT_NEW_FLEET;
		if (round % LOG_EVERY == 0)
			log_event(LOG_LEVEL_INFO, "waiting_for_founders",
				  LOG_INT("answered", blank),
				  LOG_INT("of", cn->settings.controls.n));
		clock_sleep_ms(RETRY_MS);
	}
}
