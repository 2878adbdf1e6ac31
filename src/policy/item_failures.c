#include "policy/item_failures.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct {
	uint32_t earlier; /* failures reported on earlier links */
	uint32_t on_link; /* on the current one */
	uint32_t item;
	deadline_t keep_until;
	UT_hash_handle hh; /* in the order of the first failures */
	size_t lot_n;
	char key[]; /* the lot's id and the item's number */
} record_t;

struct item_failures {
	record_t *records;
};

item_failures_t *item_failures_new(void)
{
	return mem_new(sizeof(item_failures_t));
}

static void remove_record(item_failures_t *t, record_t *r)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
	HASH_DEL(t->records, r);
	free(r);
}

void item_failures_free(item_failures_t *t)
{
	if (!t)
		return;
	while (t->records)
		remove_record(t, t->records);
	free(t);
}

static void make_key(buf_t *key, str_t lot, uint32_t item)
{
	buf_add(key, lot);
	buf_add(key, (str_t){(const char *)&item, sizeof(item)});
}

static record_t *find_record(const item_failures_t *t, str_t key)
{
	record_t *r;

	HASH_FIND(hh, t->records, key.p, key.n, r);
	return r;
}

void item_failures_add(item_failures_t *t, str_t lot, uint32_t item, deadline_t keep_until)
{
	AUTO_BUF key = {0};
	record_t *r;

	make_key(&key, lot, item);
	r = find_record(t, str_buf(&key));
	if (!r) {
		if (HASH_COUNT(t->records) >= ITEM_FAILURES_MAX)
			remove_record(t, t->records);
		r = mem_new(sizeof(*r) + key.n);
		memcpy(r->key, key.p, key.n);
		r->lot_n = lot.n;
		r->item = item;
		HASH_ADD_KEYPTR(hh, t->records, r->key, key.n, r);
	}
	r->on_link++;
	r->keep_until = keep_until;
}

void item_failures_forget(item_failures_t *t, str_t lot, uint32_t item)
{
	AUTO_BUF key = {0};
	record_t *r;

	make_key(&key, lot, item);
	r = find_record(t, str_buf(&key));
	if (r)
		remove_record(t, r);
}

void item_failures_new_link(item_failures_t *t)
{
	for (record_t *r = t->records; r; r = r->hh.next) {
		r->earlier += r->on_link;
		r->on_link = 0;
	}
}

size_t item_failures_list(item_failures_t *t, deadline_t now, item_failures_entry_t *out,
			  size_t max)
{
	record_t *r;
	record_t *next;
	size_t n = 0;

	HASH_ITER (hh, t->records, r, next) {
		if (now >= r->keep_until)
			remove_record(t, r);
		else if (r->earlier > 0 && n < max)
			out[n++] = (item_failures_entry_t){(str_t){r->key, r->lot_n}, r->item,
							   r->earlier};
	}
	return n;
}
