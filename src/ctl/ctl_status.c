#include <stdio.h>
#include <string.h>
#include "base/args.h"
#include "client/control_client.h"
#include "ctl/ctl.h"

#define CONTROL_TIMEOUT_MS 2000

static json_t *fetch_control_status(ctl_t *ctl)
{
	json_t *all = json_array();
	control_client_t *cc;

	if (ctl->settings.controls.n == 0)
		return all;
	cc = control_client_new((const char *const *)ctl->settings.controls.v,
				ctl->settings.controls.n, 1);
	for (size_t i = 0; i < ctl->settings.controls.n; i++) {
		AUTO_BUF text = {0};
		json_t *o = NULL;

		if (control_client_status(cc, i, &text, clock_now_ms() + CONTROL_TIMEOUT_MS) ==
		    STATUS_OK)
			o = json_loadb(text.p, text.n, 0, NULL);
		if (!o)
			o = json_pack("{s:s,s:s}", "addr", ctl->settings.controls.v[i], "state",
				      "unreached");
		json_array_append_new(all, o);
	}
	control_client_free(cc);
	return all;
}

static json_t *fetch_entry_status(ctl_t *ctl)
{
	ctl_call_t call = {.method = "GET", .path = "/v1/status", .as_operator = true};
	json_t *all = json_array();
	toml_strs_t addrs;

	ctl_list_entries(ctl, &addrs);
	for (size_t i = 0; i < addrs.n; i++) {
		AUTO_BUF body = {0};
		long http = 0;
		json_t *o = NULL;

		if (ctl_call_entry(ctl, addrs.v[i], &call, &body, &http) == STATUS_OK &&
		    http == 200)
			o = json_loadb(body.p, body.n, 0, NULL);
		if (!o)
			o = json_pack("{s:s,s:i}", "unreached", addrs.v[i], "http", (int)http);
		json_array_append_new(all, o);
	}
	toml_strs_free(&addrs);
	return all;
}

static const char *get_str(const json_t *o, const char *key)
{
	const char *v = json_string_value(json_object_get(o, key));

	return v ? v : "-";
}

static long long get_int(const json_t *o, const char *key)
{
	return (long long)json_integer_value(json_object_get(o, key));
}

/* Names the members that acknowledge nothing to the leader, and for how long. */
static void print_silent_members(const json_t *peers)
{
	const json_t *p;
	size_t i;

	json_array_foreach(peers, i, p)
	{
		if (!json_is_false(json_object_get(p, "acknowledges")))
			continue;
		printf("    %s %s zone=%s acknowledges nothing for_ms=%lld match=%lld\n",
		       json_is_true(json_object_get(p, "voter")) ? "voter" : "learner",
		       get_str(p, "addr"), get_str(p, "zone"), get_int(p, "unacknowledged_ms"),
		       get_int(p, "match"));
	}
}

static const char *get_role(const json_t *group)
{
	if (json_is_true(json_object_get(group, "failed")))
		return "failed";
	return json_is_true(json_object_get(group, "leader")) ? "leader" : "follower";
}

/* voters= is the number of all members of a group, those without a vote included. */
static void print_controls(const json_t *all)
{
	const json_t *o;
	const json_t *g;
	size_t i;
	size_t k;

	json_array_foreach(all, i, o)
	{
		printf("control %s %s zone=%s state=%s conf=%lld\n", get_str(o, "name"),
		       get_str(o, "addr"), get_str(o, "zone"), get_str(o, "state"),
		       get_int(o, "conf_number"));
		json_array_foreach(json_object_get(o, "groups"), k, g)
		{
			printf("  group %lld %s term=%lld applied=%lld snapshot=%lld voters=%zu\n",
			       get_int(g, "group"), get_role(g), get_int(g, "term"),
			       get_int(g, "applied"), get_int(g, "snapshot"),
			       json_array_size(json_object_get(g, "peers")));
			print_silent_members(json_object_get(g, "peers"));
		}
	}
}

/* session, view and fence are explained in proto/wire.x; an upstream is a replica. */
static void print_entries(const json_t *all)
{
	const json_t *o;
	const json_t *u;
	size_t i;
	size_t k;

	json_array_foreach(all, i, o)
	{
		if (json_object_get(o, "unreached")) {
			printf("entry %s unreached\n", get_str(o, "unreached"));
			continue;
		}
		printf("entry %s zone=%s session=%lld conf=%lld view=%lld lease_left_ms=%lld "
		       "draining=%d\n",
		       get_str(o, "name"), get_str(o, "zone"), get_int(o, "session"),
		       get_int(o, "conf_number"), get_int(o, "view_version"),
		       get_int(o, "lease_left_ms"), json_is_true(json_object_get(o, "draining")));
		json_array_foreach(json_object_get(o, "upstreams"), k, u)
		{
			if (!json_is_true(json_object_get(u, "owned_here")))
				continue;
			printf("  owns %s service=%s state=%s fence=%lld online=%lld batch=%lld "
			       "queued=%lld\n",
			       get_str(u, "id"), get_str(u, "service"), get_str(u, "state"),
			       get_int(u, "fence"), get_int(u, "running_online"),
			       get_int(u, "running_batch"), get_int(u, "queued"));
		}
	}
}

int ctl_status(ctl_t *ctl)
{
	json_t *root = json_pack("{s:o,s:o}", "controls", fetch_control_status(ctl), "entries",
				 fetch_entry_status(ctl));

	if (ctl->json) {
		json_dumpf(root, stdout, JSON_COMPACT);
		putchar('\n');
	} else {
		print_controls(json_object_get(root, "controls"));
		print_entries(json_object_get(root, "entries"));
	}
	json_decref(root);
	return EXIT_OK;
}
