/** TOML documents: settings files and the operators' text. */
#ifndef AUBURN_TOML_H
#define AUBURN_TOML_H

#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

typedef struct toml_doc toml_doc_t; /* a parsed document */
typedef struct toml_table toml_table_t; /* a table inside it; lives as long as the document */

/** Parses text; name is used in messages ("name:line: ..."). STATUS_INVALID with a message. */
status_t toml_parse(str_t text, const char *name, toml_doc_t **out);
/** Reads and parses a file. */
status_t toml_load(const char *path, toml_doc_t **out);
void toml_free(toml_doc_t *c);
void toml_cleanup(toml_doc_t **c);
#define AUTO_TOML __attribute__((cleanup(toml_cleanup))) toml_doc_t

const toml_table_t *toml_root(const toml_doc_t *c);

/** One key that a table may hold. */
typedef struct {
	const char *key;
	enum { TOML_STR, TOML_INT, TOML_REAL, TOML_BOOL, TOML_STRS } type;
	bool required;
	int64_t min, max; /* TOML_INT and TOML_REAL (whole numbers); TOML_STR: length */
	void *out; /* char** (malloc), int64_t*, double*, bool*, toml_strs_t*; keeps its value when
		      absent */
} toml_key_t;

typedef struct {
	char **v;
	size_t n;
} toml_strs_t;
void toml_strs_free(toml_strs_t *s);

/** Reads a table by its description, which ends with a NULL key. Unknown keys, wrong types, missing
 *  and out-of-bounds values give STATUS_INVALID and "name:line: key: what is wrong".
 *  Sub-tables and arrays of tables named in `sub` (NULL-ended, may be NULL) are passed over. */
status_t toml_read(const toml_doc_t *c, const toml_table_t *t, const toml_key_t *keys,
		   const char *const *sub);
/** Number of tables in the array of tables `key`; 0 when absent. */
size_t toml_table_count(const toml_table_t *t, const char *key);
const toml_table_t *toml_table_at(const toml_table_t *t, const char *key, size_t i);
/** Line of the table, or of a key in it. */
int toml_line(const toml_table_t *t, const char *key);
/** Name given to toml_parse. */
const char *toml_name(const toml_doc_t *c);

#endif
