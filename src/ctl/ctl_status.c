#include <stdio.h>
#include <string.h>
#include "base/args.h"
#include "client/control_client.h"
#include "ctl/ctl.h"

#define ASK_MS 2000

static json_t *control_status(ctl_t *ct)
{
	json_t *all = json_array();
	control_client_t *cc;

	if (ct->s.controls.n == 0)
		return all;
	cc = control_client_new((const char *const *)ct->s.controls.v, ct->s.controls.n, 1);
	for (size_t i = 0; i < ct->s.controls.n; i++) {
		AUTO_BUF text = {0};
		json_t *o = NULL;

		if (control_client_status(cc, i, &text, clock_now_ms() + ASK_MS) == STATUS_OK)
			o = json_loadb(text.p, text.n, 0, NULL);
		if (!o)
			o = json_pack("{s:s,s:s}", "addr", ct->s.controls.v[i], "state",
				      "unreached");
		json_array_append_new(all, o);
	}
	control_client_free(cc);
	return all;
}

static json_t *entry_status(ctl_t *ct)
{
	ctl_call_t call = {.method = "GET", .path = "/v1/status", .as_operator = true};
	json_t *all = json_array();
	toml_strs_t addrs;

	ctl_list_entries(ct, &addrs);
	for (size_t i = 0; i < addrs.n; i++) {
		AUTO_BUF body = {0};
		long http = 0;
		json_t *o = NULL;

		if (ctl_call_entry(ct, addrs.v[i], &call, &body, &http) == STATUS_OK && http == 200)
			o = json_loadb(body.p, body.n, 0, NULL);
		if (!o)
			o = json_pack("{s:s,s:i}", "unreached", addrs.v[i], "http", (int)http);
		json_array_append_new(all, o);
	}
	toml_strs_free(&addrs);
	return all;
}

static const char *text_of(const json_t *o, const char *key)
{
	const char *v = json_string_value(json_object_get(o, key));

	return v ? v : "-";
}

static long long number_of(const json_t *o, const char *key)
{
	return (long long)json_integer_value(json_object_get(o, key));
}

static void print_controls(const json_t *all)
{
	const json_t *o;
	const json_t *g;
	size_t i;
	size_t k;

	json_array_foreach(all, i, o)
	{
		printf("control %s %s zone=%s state=%s conf=%lld\n", text_of(o, "name"),
		       text_of(o, "addr"), text_of(o, "zone"), text_of(o, "state"),
		       number_of(o, "conf_number"));
		json_array_foreach(json_object_get(o, "groups"), k, g)
		{
			printf("  group %lld %s term=%lld applied=%lld snapshot=%lld voters=%zu\n",
			       number_of(g, "group"),
			       json_is_true(json_object_get(g, "leader")) ? "leader" : "follower",
			       number_of(g, "term"), number_of(g, "applied"),
			       number_of(g, "snapshot"),
			       json_array_size(json_object_get(g, "peers")));
		}
	}
}

static void print_entries(const json_t *all)
{
	const json_t *o;
	const json_t *u;
	size_t i;
	size_t k;

	json_array_foreach(all, i, o)
	{
		if (json_object_get(o, "unreached")) {
			printf("entry %s unreached\n", text_of(o, "unreached"));
			continue;
		}
		printf("entry %s zone=%s session=%lld conf=%lld view=%lld lease_left_ms=%lld "
		       "draining=%d\n",
		       text_of(o, "name"), text_of(o, "zone"), number_of(o, "session"),
		       number_of(o, "conf_number"), number_of(o, "view_version"),
		       number_of(o, "lease_left_ms"), json_is_true(json_object_get(o, "draining")));
		json_array_foreach(json_object_get(o, "upstreams"), k, u)
		{
			if (!json_is_true(json_object_get(u, "owned_here")))
				continue;
			printf("  owns %s service=%s state=%s fence=%lld online=%lld batch=%lld "
			       "queued=%lld\n",
			       text_of(u, "id"), text_of(u, "service"), text_of(u, "state"),
			       number_of(u, "fence"), number_of(u, "running_online"),
			       number_of(u, "running_batch"), number_of(u, "queued"));
		}
	}
}

int ctl_status(ctl_t *ct)
{
	json_t *root =
		json_pack("{s:o,s:o}", "controls", control_status(ct), "entries", entry_status(ct));

	if (ct->json) {
		json_dumpf(root, stdout, JSON_COMPACT);
		putchar('\n');
	} else {
		print_controls(json_object_get(root, "controls"));
		print_entries(json_object_get(root, "entries"));
	}
	json_decref(root);
	return EXIT_OK;
}
