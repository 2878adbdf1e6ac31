/* Start-up: decides whether the process opens its replicas, founds a fleet or joins one. */
#include <jansson.h>
#include <string.h>
#include <sys/stat.h>
#include "base/log.h"
#include "control/control.h"

#define STATUS_TIMEOUT_MS 1000
#define RETRY_MS	  200
#define ROUNDS_PER_LOG	  50

static bool group_folder_exists(control_t *ctl)
{
	AUTO_BUF path = {0};
	struct stat sb;

	buf_addf(&path, "%s/group-0", ctl->settings.data);
	return stat(path.p, &sb) == 0;
}

/* Gets the "state" of control process i, see control_status_json; empty if there is no answer. */
static void fetch_state(control_t *ctl, size_t i, char out[16])
{
	AUTO_BUF text = {0};
	json_t *o;
	const char *state;

	out[0] = 0;
	if (control_client_status(ctl->client, i, &text, clock_now_ms() + STATUS_TIMEOUT_MS) !=
	    STATUS_OK)
		return;
	o = json_loadb(text.p, text.n, 0, NULL);
	state = json_string_value(json_object_get(o, "state"));
	snprintf(out, 16, "%s", state ? state : "");
	json_decref(o);
}

static bool is_founder(control_t *ctl)
{
	for (size_t i = 0; i < ctl->settings.controls.n; i++) {
		if (strcmp(ctl->settings.controls.v[i], ctl->settings.listen) == 0)
			return true;
	}
	return false;
}

/*
 * A VM that has lost its disk must not vote again under its old replica id, because it could vote
 * twice in a term. A process with a new data folder therefore founds a fleet only after all other
 * founding control processes have answered that they hold no state. If one of them holds state,
 * this process joins its fleet.
 */
control_boot_t control_boot_decide(control_t *ctl, bool bootstrap)
{
	if (group_folder_exists(ctl))
		return CONTROL_BOOT_MEMBER;
	if (!bootstrap || !is_founder(ctl))
		return CONTROL_BOOT_JOIN;
	for (unsigned round = 0;; round++) {
		size_t without_state = 0;

		for (size_t i = 0; i < ctl->settings.controls.n; i++) {
			char state[16];

			if (strcmp(control_client_addr(ctl->client, i), ctl->settings.listen) ==
			    0) {
				without_state++;
				continue;
			}
			fetch_state(ctl, i, state);
			if (strcmp(state, "member") == 0)
				return CONTROL_BOOT_JOIN;
			without_state += state[0] != 0;
		}
		if (without_state == ctl->settings.controls.n)
			return CONTROL_BOOT_NEW_FLEET;
		if (round % ROUNDS_PER_LOG == 0)
			log_event(LOG_LEVEL_INFO, "waiting_for_founders",
				  LOG_INT("answered", without_state),
				  LOG_INT("of", ctl->settings.controls.n));
		clock_sleep_ms(RETRY_MS);
	}
}
