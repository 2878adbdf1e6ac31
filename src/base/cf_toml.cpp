// TOML documents by toml++; the one C++ file, behind the C interface of cf.h.
#define TOML_EXCEPTIONS 0
// The parser asserts on what its input holds, as in "[[[", and would end the process; without the
// assertions it reports an error there.
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>

#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string>

extern "C" {
#include "base/cf.h"
}

struct cf {
	std::string name;
	toml::table root;
};

static const cf_table_t *as_c(const toml::table *t)
{
	return reinterpret_cast<const cf_table_t *>(t);
}

static const toml::table *as_toml(const cf_table_t *t)
{
	return reinterpret_cast<const toml::table *>(t);
}

static unsigned line_of(const toml::node &n)
{
	return n.source().begin.line;
}

extern "C" status_t cf_parse(str_t text, const char *name, cf_t **out)
{
	*out = nullptr;
	toml::parse_result r = toml::parse(std::string_view(text.p, text.n));
	if (!r) {
		std::string what(r.error().description());
		return st_fail(ST_INVALID, "%s:%u: syntax: %s", name, (unsigned)r.error().source().begin.line,
			       what.c_str());
	}
	cf *c = new cf;
	c->name = name;
	c->root = std::move(r).table();
	*out = c;
	return ST_OK;
}

extern "C" status_t cf_load(const char *path, cf_t **out)
{
	*out = nullptr;
	std::ifstream f(path, std::ios::binary);
	if (!f)
		return st_fail(ST_NOT_FOUND, "%s:0: can't be read", path);
	std::stringstream s;
	s << f.rdbuf();
	std::string text = s.str();
	return cf_parse(str_t{text.data(), text.size()}, path, out);
}

extern "C" void cf_free(cf_t *c)
{
	delete c;
}

extern "C" void cf_cleanup(cf_t **c)
{
	delete *c;
}

extern "C" const cf_table_t *cf_root(const cf_t *c)
{
	return as_c(&c->root);
}

extern "C" const char *cf_name(const cf_t *c)
{
	return c->name.c_str();
}

extern "C" void cf_strs_free(cf_strs_t *s)
{
	for (size_t i = 0; i < s->n; i++)
		free(s->v[i]);
	free(s->v);
	*s = cf_strs_t{nullptr, 0};
}

static char *copy(const std::string &s)
{
	return str_dup(str_t{s.data(), s.size()});
}

static status_t wrong(const cf_t *c, const toml::node &n, const char *key, const char *what)
{
	return st_fail(ST_INVALID, "%s:%u: %s: %s", c->name.c_str(), line_of(n), key, what);
}

static status_t out_of_bounds(const cf_t *c, const toml::node &n, const cf_key_t &k, const char *what)
{
	return st_fail(ST_INVALID, "%s:%u: %s: %s must be %lld to %lld", c->name.c_str(), line_of(n), k.key,
		       what, (long long)k.min, (long long)k.max);
}

static status_t read_strs(const cf_t *c, const toml::node &n, const cf_key_t &k)
{
	const toml::array *a = n.as_array();
	if (!a)
		return wrong(c, n, k.key, "must be an array of strings");
	if ((int64_t)a->size() < k.min || (int64_t)a->size() > k.max)
		return out_of_bounds(c, n, k, "its size");
	cf_strs_t s = {(char **)mem_new((a->size() + 1) * sizeof(char *)), 0};
	for (const toml::node &e : *a) {
		if (!e.is_string()) {
			cf_strs_free(&s);
			return wrong(c, e, k.key, "must be an array of strings");
		}
		s.v[s.n++] = copy(e.as_string()->get());
	}
	cf_strs_free((cf_strs_t *)k.out);
	*(cf_strs_t *)k.out = s;
	return ST_OK;
}

static status_t read_str(const cf_t *c, const toml::node &n, const cf_key_t &k)
{
	if (!n.is_string())
		return wrong(c, n, k.key, "must be a string");
	const std::string &s = n.as_string()->get();
	if ((int64_t)s.size() < k.min || (int64_t)s.size() > k.max)
		return out_of_bounds(c, n, k, "its length");
	char **out = (char **)k.out;
	free(*out);
	*out = copy(s);
	return ST_OK;
}

static status_t read_real(const cf_t *c, const toml::node &n, const cf_key_t &k)
{
	if (!n.is_number())
		return wrong(c, n, k.key, "must be a number");
	double v = n.is_integer() ? (double)n.as_integer()->get() : n.as_floating_point()->get();
	if (!(v >= (double)k.min && v <= (double)k.max))
		return out_of_bounds(c, n, k, "it");
	*(double *)k.out = v;
	return ST_OK;
}

static status_t read_key(const cf_t *c, const toml::node &n, const cf_key_t &k)
{
	switch (k.type) {
	case cf_key_t::CF_STR:
		return read_str(c, n, k);
	case cf_key_t::CF_STRS:
		return read_strs(c, n, k);
	case cf_key_t::CF_REAL:
		return read_real(c, n, k);
	case cf_key_t::CF_BOOL:
		if (!n.is_boolean())
			return wrong(c, n, k.key, "must be true or false");
		*(bool *)k.out = n.as_boolean()->get();
		return ST_OK;
	case cf_key_t::CF_INT:
		if (!n.is_integer())
			return wrong(c, n, k.key, "must be a whole number");
		if (n.as_integer()->get() < k.min || n.as_integer()->get() > k.max)
			return out_of_bounds(c, n, k, "it");
		*(int64_t *)k.out = n.as_integer()->get();
		return ST_OK;
	}
	return ST_OK;
}

static bool is_known(const char *key, const cf_key_t *keys, const char *const *sub)
{
	for (; keys->key; keys++)
		if (strcmp(key, keys->key) == 0)
			return true;
	for (; sub && *sub; sub++)
		if (strcmp(key, *sub) == 0)
			return true;
	return false;
}

extern "C" status_t cf_read(const cf_t *c, const cf_table_t *t, const cf_key_t *keys, const char *const *sub)
{
	const toml::table &table = *as_toml(t);
	for (auto &&[key, node] : table) {
		std::string name(key.str());
		if (!is_known(name.c_str(), keys, sub))
			return wrong(c, node, name.c_str(), "unknown key");
	}
	for (const char *const *s = sub; s && *s; s++) {
		const toml::node *n = table.get(*s);
		if (n && !n->is_array_of_tables() && !n->is_table())
			return wrong(c, *n, *s, "must be a table");
	}
	for (; keys->key; keys++) {
		const toml::node *n = table.get(keys->key);
		if (!n && keys->required)
			return st_fail(ST_INVALID, "%s:%u: %s: missing", c->name.c_str(), line_of(table),
				       keys->key);
		if (!n)
			continue;
		status_t st = read_key(c, *n, *keys);
		if (st != ST_OK)
			return st;
	}
	return ST_OK;
}

static const toml::array *tables_of(const cf_table_t *t, const char *key)
{
	const toml::node *n = as_toml(t)->get(key);
	return n && n->is_array_of_tables() ? n->as_array() : nullptr;
}

extern "C" size_t cf_count(const cf_table_t *t, const char *key)
{
	const toml::node *n = as_toml(t)->get(key);
	if (n && n->is_table())
		return 1;
	const toml::array *a = tables_of(t, key);
	return a ? a->size() : 0;
}

extern "C" const cf_table_t *cf_at(const cf_table_t *t, const char *key, size_t i)
{
	const toml::node *n = as_toml(t)->get(key);
	if (n && n->is_table())
		return as_c(n->as_table());
	const toml::array *a = tables_of(t, key);
	return a && i < a->size() ? as_c(a->get(i)->as_table()) : nullptr;
}

extern "C" int cf_line(const cf_table_t *t, const char *key)
{
	const toml::node *n = key ? as_toml(t)->get(key) : nullptr;
	return (int)line_of(n ? *n : *static_cast<const toml::node *>(as_toml(t)));
}
