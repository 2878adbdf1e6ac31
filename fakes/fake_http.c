/* HTTP server of the fake programs: one thread per connection, so that handlers may block. */
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/rpc.h"
#include "fake_common.h"

#define MAX_CONNECTIONS 4096
#define MAX_BODY_BYTES	(8u << 20)
#define PORT_COUNT	65536
#define ACCEPT_BACKLOG	1024

/* Sockets of the open connections by the client's port. Clients on loopback have several addresses,
 * so two of them may use the same port. ulfius gives handlers the client's address only. */
typedef struct socket_entry {
	struct sockaddr_in client;
	int fd;
	struct socket_entry *next;
} socket_entry_t;

static socket_entry_t *sockets[PORT_COUNT];
static pthread_mutex_t sockets_lock = PTHREAD_MUTEX_INITIALIZER;

static bool same_client(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port && a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static void add_socket(const struct sockaddr_in *client, int fd)
{
	socket_entry_t *e = mem_new(sizeof(*e));
	socket_entry_t **head = &sockets[client->sin_port];

	*e = (socket_entry_t){.client = *client, .fd = fd};
	pthread_mutex_lock(&sockets_lock);
	e->next = *head;
	*head = e;
	pthread_mutex_unlock(&sockets_lock);
}

static void remove_socket(const struct sockaddr_in *client, int fd)
{
	socket_entry_t **at = &sockets[client->sin_port];
	socket_entry_t *e;

	pthread_mutex_lock(&sockets_lock);
	while (*at && !((*at)->fd == fd && same_client(&(*at)->client, client)))
		at = &(*at)->next;
	e = *at;
	if (e)
		*at = e->next;
	pthread_mutex_unlock(&sockets_lock);
	free(e);
}

/* Called by libmicrohttpd when a connection is opened or closed. */
static void on_connection(void *cls, struct MHD_Connection *c, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	const union MHD_ConnectionInfo *peer =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const union MHD_ConnectionInfo *sock =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct sockaddr_in client;
	int one = 1;

	if (!peer || !sock)
		return;
	memcpy(&client, peer->client_addr, sizeof(client));
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		setsockopt(sock->connect_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		add_socket(&client, sock->connect_fd);
	} else {
		remove_socket(&client, sock->connect_fd);
	}
}

int fake_http_socket(const struct _u_request *q)
{
	struct sockaddr_in client;
	const socket_entry_t *e;
	int fd;

	memcpy(&client, q->client_address, sizeof(client));
	pthread_mutex_lock(&sockets_lock);
	for (e = sockets[client.sin_port]; e && !same_client(&e->client, &client);)
		e = e->next;
	fd = e ? e->fd : -1;
	pthread_mutex_unlock(&sockets_lock);
	return fd;
}

void fake_http_drop(const struct _u_request *q)
{
	int fd = fake_http_socket(q);

	if (fd >= 0)
		shutdown(fd, SHUT_RDWR);
}

status_t fake_parse_address(const char *addr, struct sockaddr_in *out)
{
	char ip[64];
	unsigned port;
	status_t st = rpc_parse_addr(addr, ip, &port);

	if (st != STATUS_OK)
		return st;
	*out = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	inet_pton(AF_INET, ip, &out->sin_addr);
	return STATUS_OK;
}

status_t fake_check_address(const toml_doc_t *c, const char *key, const char *addr)
{
	struct sockaddr_in ignored;

	if (fake_parse_address(addr, &ignored) == STATUS_OK)
		return STATUS_OK;
	return status_fail(STATUS_INVALID, "%s:%d: %s: %s is not ip:port", toml_name(c),
			   toml_line(toml_root(c), key), key, addr);
}

static int start_server(struct _u_instance *server)
{
	struct MHD_OptionItem options[] = {
		{MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
		{MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
		{MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection, NULL},
		{MHD_OPTION_SOCK_ADDR, 0, server->bind_address},
		{MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS, NULL},
		{MHD_OPTION_LISTEN_BACKLOG_SIZE, ACCEPT_BACKLOG, NULL},
		{MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL},
		{MHD_OPTION_END, 0, NULL},
	};

	return ulfius_start_framework_with_mhd_options(
		server,
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		options);
}

status_t fake_http_start(const fake_http_options_t *o)
{
	struct _u_instance *server = mem_new(sizeof(*server));
	struct sockaddr_in *address = mem_new(sizeof(*address));
	status_t st = fake_parse_address(o->listen, address);
	const fake_route_t *r;

	if (st != STATUS_OK)
		goto fail;
	st = STATUS_IO;
	if (ulfius_init_instance(server, ntohs(address->sin_port), address, NULL) != U_OK) {
		status_fail(STATUS_IO, "%s: can't prepare the server", o->listen);
		goto fail;
	}
	server->max_post_body_size = MAX_BODY_BYTES;
	for (r = o->routes; r->method; r++)
		ulfius_add_endpoint_by_val(server, r->method, NULL, r->path, 0, r->handle, o->ctx);
	if (o->fallback)
		ulfius_set_default_endpoint(server, o->fallback, o->ctx);
	if (start_server(server) == U_OK)
		return STATUS_OK;
	status_fail(STATUS_IO, "%s: can't listen", o->listen);
	ulfius_clean_instance(server);
fail:
	free(address);
	free(server);
	return st;
}

int fake_reply(struct _u_response *r, unsigned status, json_t *body)
{
	ulfius_set_json_body_response(r, status, body);
	json_decref(body);
	return U_CALLBACK_COMPLETE;
}

int fake_reply_error(struct _u_response *r, unsigned status, const char *message)
{
	return fake_reply(r, status, json_pack("{s:s}", "error", message));
}

json_t *fake_request_json(const struct _u_request *q)
{
	json_t *j = json_loadb(q->binary_body, q->binary_body_length, 0, NULL);

	if (json_is_object(j))
		return j;
	json_decref(j);
	return NULL;
}

int64_t fake_json_int(const json_t *o, const char *key, int64_t absent)
{
	const json_t *v = json_object_get(o, key);

	return json_is_integer(v) ? json_integer_value(v) : absent;
}

const char *fake_json_str(const json_t *o, const char *key)
{
	const char *v = json_string_value(json_object_get(o, key));

	return v ? v : "";
}

bool fake_json_bool(const json_t *o, const char *key)
{
	return json_is_true(json_object_get(o, key));
}

int64_t fake_query_int(const struct _u_request *q, const char *key, int64_t absent)
{
	const char *v = u_map_get(q->map_url, key);

	return v ? strtoll(v, NULL, 10) : absent;
}

void fake_json_cleanup(json_t **j)
{
	json_decref(*j);
}
