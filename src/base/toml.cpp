// TOML documents by toml++; the only C++ file, behind the C interface of toml.h.
#define TOML_EXCEPTIONS 0
// toml++ has assertions that bad input can trigger, such as "[[[", and that would abort the
// process. Without them it reports a parse error.
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>

#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string>

extern "C" {
#include "base/toml.h"
}

struct toml_doc {
	std::string name;
	toml::table root;
};

static const toml_table_t *to_c(const toml::table *t)
{
	return reinterpret_cast<const toml_table_t *>(t);
}

static const toml::table *to_toml(const toml_table_t *t)
{
	return reinterpret_cast<const toml::table *>(t);
}

static unsigned line_number(const toml::node &n)
{
	return n.source().begin.line;
}

extern "C" status_t toml_parse(str_t text, const char *name, toml_doc_t **out)
{
	*out = nullptr;
	toml::parse_result r = toml::parse(std::string_view(text.p, text.n));
	if (!r) {
		std::string reason(r.error().description());
		return status_fail(STATUS_INVALID, "%s:%u: syntax: %s", name,
				   (unsigned)r.error().source().begin.line, reason.c_str());
	}
	toml_doc *c = new toml_doc;
	c->name = name;
	c->root = std::move(r).table();
	*out = c;
	return STATUS_OK;
}

extern "C" status_t toml_load(const char *path, toml_doc_t **out)
{
	*out = nullptr;
	std::ifstream f(path, std::ios::binary);
	if (!f)
		return status_fail(STATUS_NOT_FOUND, "%s:0: can't be read", path);
	std::stringstream s;
	s << f.rdbuf();
	std::string text = s.str();
	return toml_parse(str_t{text.data(), text.size()}, path, out);
}

extern "C" void toml_free(toml_doc_t *c)
{
	delete c;
}

extern "C" void toml_cleanup(toml_doc_t **c)
{
	delete *c;
}

extern "C" const toml_table_t *toml_root(const toml_doc_t *c)
{
	return to_c(&c->root);
}

extern "C" const char *toml_name(const toml_doc_t *c)
{
	return c->name.c_str();
}

extern "C" void toml_strs_free(toml_strs_t *s)
{
	for (size_t i = 0; i < s->n; i++)
		free(s->v[i]);
	free(s->v);
	*s = toml_strs_t{nullptr, 0};
}

static char *dup_string(const std::string &s)
{
	return str_dup(str_t{s.data(), s.size()});
}

static status_t fail_key(const toml_doc_t *c, const toml::node &n, const char *key,
			 const char *reason)
{
	return status_fail(STATUS_INVALID, "%s:%u: %s: %s", c->name.c_str(), line_number(n), key,
			   reason);
}

static status_t fail_bounds(const toml_doc_t *c, const toml::node &n, const toml_key_t &k,
			    const char *subject)
{
	return status_fail(STATUS_INVALID, "%s:%u: %s: %s must be %lld to %lld", c->name.c_str(),
			   line_number(n), k.key, subject, (long long)k.min, (long long)k.max);
}

static status_t read_strs(const toml_doc_t *c, const toml::node &n, const toml_key_t &k)
{
	const toml::array *a = n.as_array();
	if (!a)
		return fail_key(c, n, k.key, "must be an array of strings");
	if ((int64_t)a->size() < k.min || (int64_t)a->size() > k.max)
		return fail_bounds(c, n, k, "its size");
	toml_strs_t s = {(char **)mem_new((a->size() + 1) * sizeof(char *)), 0};
	for (const toml::node &e : *a) {
		if (!e.is_string()) {
			toml_strs_free(&s);
			return fail_key(c, e, k.key, "must be an array of strings");
		}
		s.v[s.n++] = dup_string(e.as_string()->get());
	}
	toml_strs_free((toml_strs_t *)k.out);
	*(toml_strs_t *)k.out = s;
	return STATUS_OK;
}

static status_t read_str(const toml_doc_t *c, const toml::node &n, const toml_key_t &k)
{
	if (!n.is_string())
		return fail_key(c, n, k.key, "must be a string");
	const std::string &s = n.as_string()->get();
	if ((int64_t)s.size() < k.min || (int64_t)s.size() > k.max)
		return fail_bounds(c, n, k, "its length");
	char **out = (char **)k.out;
	free(*out);
	*out = dup_string(s);
	return STATUS_OK;
}

static status_t read_real(const toml_doc_t *c, const toml::node &n, const toml_key_t &k)
{
	if (!n.is_number())
		return fail_key(c, n, k.key, "must be a number");
	double v = n.is_integer() ? (double)n.as_integer()->get() : n.as_floating_point()->get();
	if (!(v >= (double)k.min && v <= (double)k.max))
		return fail_bounds(c, n, k, "it");
	*(double *)k.out = v;
	return STATUS_OK;
}

static status_t read_key(const toml_doc_t *c, const toml::node &n, const toml_key_t &k)
{
	switch (k.type) {
	case toml_key_t::TOML_STR:
		return read_str(c, n, k);
	case toml_key_t::TOML_STRS:
		return read_strs(c, n, k);
	case toml_key_t::TOML_REAL:
		return read_real(c, n, k);
	case toml_key_t::TOML_BOOL:
		if (!n.is_boolean())
			return fail_key(c, n, k.key, "must be true or false");
		*(bool *)k.out = n.as_boolean()->get();
		return STATUS_OK;
	case toml_key_t::TOML_INT:
		if (!n.is_integer())
			return fail_key(c, n, k.key, "must be a whole number");
		if (n.as_integer()->get() < k.min || n.as_integer()->get() > k.max)
			return fail_bounds(c, n, k, "it");
		*(int64_t *)k.out = n.as_integer()->get();
		return STATUS_OK;
	}
	return STATUS_OK;
}

static bool in_schema(const char *key, const toml_key_t *keys, const char *const *sub)
{
	for (; keys->key; keys++)
		if (strcmp(key, keys->key) == 0)
			return true;
	for (; sub && *sub; sub++)
		if (strcmp(key, *sub) == 0)
			return true;
	return false;
}

extern "C" status_t toml_read(const toml_doc_t *c, const toml_table_t *t, const toml_key_t *keys,
			      const char *const *sub)
{
	const toml::table &table = *to_toml(t);
	for (auto &&[key, node] : table) {
		std::string name(key.str());
		if (!in_schema(name.c_str(), keys, sub))
			return fail_key(c, node, name.c_str(), "unknown key");
	}
	for (const char *const *s = sub; s && *s; s++) {
		const toml::node *n = table.get(*s);
		if (n && !n->is_array_of_tables() && !n->is_table())
			return fail_key(c, *n, *s, "must be a table");
	}
	for (; keys->key; keys++) {
		const toml::node *n = table.get(keys->key);
		if (!n && keys->required)
			return status_fail(STATUS_INVALID, "%s:%u: %s: missing", c->name.c_str(),
					   line_number(table), keys->key);
		if (!n)
			continue;
		status_t st = read_key(c, *n, *keys);
		if (st != STATUS_OK)
			return st;
	}
	return STATUS_OK;
}

static const toml::array *find_table_array(const toml_table_t *t, const char *key)
{
	const toml::node *n = to_toml(t)->get(key);
	return n && n->is_array_of_tables() ? n->as_array() : nullptr;
}

extern "C" size_t toml_table_count(const toml_table_t *t, const char *key)
{
	const toml::node *n = to_toml(t)->get(key);
	if (n && n->is_table())
		return 1;
	const toml::array *a = find_table_array(t, key);
	return a ? a->size() : 0;
}

extern "C" const toml_table_t *toml_table_at(const toml_table_t *t, const char *key, size_t i)
{
	const toml::node *n = to_toml(t)->get(key);
	if (n && n->is_table())
		return to_c(n->as_table());
	const toml::array *a = find_table_array(t, key);
	return a && i < a->size() ? to_c(a->get(i)->as_table()) : nullptr;
}

extern "C" int toml_line(const toml_table_t *t, const char *key)
{
	const toml::node *n = key ? to_toml(t)->get(key) : nullptr;
	return (int)line_number(n ? *n : *static_cast<const toml::node *>(to_toml(t)));
}
