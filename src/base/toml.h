/** TOML documents: settings files and the operators' config. */
#ifndef AUBURN_TOML_H
#define AUBURN_TOML_H

#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

typedef struct toml_doc toml_doc_t; /* a parsed document */
typedef struct toml_table toml_table_t; /* a table in a document; valid as long as the document */

/** Parses text. Error messages begin with "name:line: ". STATUS_INVALID: syntax error. */
status_t toml_parse(str_t text, const char *name, toml_doc_t **out);
/** Reads and parses a file, like toml_parse. STATUS_NOT_FOUND: cannot be opened. */
status_t toml_load(const char *path, toml_doc_t **out);
void toml_free(toml_doc_t *c);
void toml_cleanup(toml_doc_t **c);
#define AUTO_TOML __attribute__((cleanup(toml_cleanup))) toml_doc_t

const toml_table_t *toml_root(const toml_doc_t *c);

/** Schema of one key of a table. */
typedef struct {
	const char *key;
	enum { TOML_STR, TOML_INT, TOML_REAL, TOML_BOOL, TOML_STRS } type;
	bool required;
	/* bounds of the value (TOML_INT, TOML_REAL), length (TOML_STR) or count (TOML_STRS) */
	int64_t min, max;
	/* char ** (malloc), int64_t *, double *, bool * or toml_strs_t *; unchanged if absent */
	void *out;
} toml_key_t;

/** A list of owned strings; also used where no TOML is involved. */
typedef struct {
	char **v;
	size_t n;
} toml_strs_t;
void toml_strs_free(toml_strs_t *s);

/** Reads a table by the schema in keys, which ends with a NULL key. An unknown key, a wrong type, a
 *  missing required key or a value out of bounds gives STATUS_INVALID and "name:line: key: reason".
 *  Sub-tables and arrays of tables named in `sub` (NULL-terminated, may be NULL) are skipped. */
status_t toml_read(const toml_doc_t *c, const toml_table_t *t, const toml_key_t *keys,
		   const char *const *sub);
/** Number of tables in the array of tables `key`; 1 for a single table, 0 if absent. */
size_t toml_table_count(const toml_table_t *t, const char *key);
/** Table i of the array, or the single table; NULL if there is none. */
const toml_table_t *toml_table_at(const toml_table_t *t, const char *key, size_t i);
/** Line number of the key, or of the table if key is NULL or absent. */
int toml_line(const toml_table_t *t, const char *key);
/** The name passed to toml_parse. */
const char *toml_name(const toml_doc_t *c);

#endif
