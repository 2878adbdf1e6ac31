#include "entry/fi.h"

#include "entry/aa.h"

#define LEASE_RETRY_MS 1000

void fi_identify(fi_call_t *c, const fi_step_t *next)
{
	if (!hs_caller(c->en, c->req, c->res, &c->caller))
		return;
	if (!hs_body_fits(c->en, c->req, c->res))
		return;
	fi_next(c, next);
}

/* An entry whose lease is over may hold an old text: it names others to go to. */
static void refuse_unleased(fi_call_t *c)
{
	AUTO_BUF others = {0};

	aa_header(c->en, &others);
	if (others.n)
		u_map_put(c->res->map_header, "X-Auburn-Addresses", others.p);
	fi_refuse(c, 503, "no_lease", STR("this entry has not heard from the control in time"),
		  LEASE_RETRY_MS);
}

void fi_leased(fi_call_t *c, const fi_step_t *next)
{
	if (!en_lease_valid(c->en->snap)) {
		refuse_unleased(c);
		return;
	}
	if (atomic_load(&c->en->closing)) {
		refuse_unleased(c);
		return;
	}
	c->conf = en_conf_get(c->en->snap);
	if (!c->conf) {
		fi_refuse(c, 503, "no_text", STR("no operators' text is in force"), LEASE_RETRY_MS);
		return;
	}
	fi_next(c, next);
}
