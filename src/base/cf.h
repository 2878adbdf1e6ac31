/** TOML documents: settings files and the operators' text. */
#ifndef AUBURN_CF_H
#define AUBURN_CF_H

#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

typedef struct cf cf_t; /* a parsed document */
typedef struct cf_table cf_table_t; /* a table inside it; lives as long as the document */

/** Parses text; name is used in messages ("name:line: ..."). ST_INVALID with a message. */
status_t cf_parse(str_t text, const char *name, cf_t **out);
/** Reads and parses a file. */
status_t cf_load(const char *path, cf_t **out);
void cf_free(cf_t *c);
void cf_cleanup(cf_t **c);
#define AUTO_CF __attribute__((cleanup(cf_cleanup))) cf_t

const cf_table_t *cf_root(const cf_t *c);

/** One key that a table may hold. */
typedef struct {
	const char *key;
	enum { CF_STR, CF_INT, CF_REAL, CF_BOOL, CF_STRS } type;
	bool required;
	int64_t min, max; /* CF_INT and CF_REAL (whole numbers); CF_STR: length */
	void *out; /* char** (malloc), int64_t*, double*, bool*, cf_strs_t*; keeps its value when
		      absent */
} cf_key_t;

typedef struct {
	char **v;
	size_t n;
} cf_strs_t;
void cf_strs_free(cf_strs_t *s);

/** Reads a table by its description, which ends with a NULL key. Unknown keys, wrong types, missing
 *  and out-of-bounds values give ST_INVALID and "name:line: key: what is wrong".
 *  Sub-tables and arrays of tables named in `sub` (NULL-ended, may be NULL) are passed over. */
status_t cf_read(const cf_t *c, const cf_table_t *t, const cf_key_t *keys, const char *const *sub);
/** Number of tables in the array of tables `key`; 0 when absent. */
size_t cf_count(const cf_table_t *t, const char *key);
const cf_table_t *cf_at(const cf_table_t *t, const char *key, size_t i);
/** Line of the table, or of a key in it. */
int cf_line(const cf_table_t *t, const char *key);
/** Name given to cf_parse. */
const char *cf_name(const cf_t *c);

#endif
