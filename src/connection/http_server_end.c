/*
 * The ends of connections: who ended each, why, and what it had on hand. Without them a request
 * that got no answer can't be told from one that never came.
 */
#define _GNU_SOURCE /* POLLRDHUP */
#include "connection/http_server_internal.h"

#include <poll.h>
#include <sys/ioctl.h>

static const char *const reason_names[HTTP_SERVER_END_COUNT] = {
  [HTTP_SERVER_END_CLOSED] = "closed",
  [HTTP_SERVER_END_IDLE_TIMEOUT] = "idle_timeout",
  [HTTP_SERVER_END_REQUEST_TIMEOUT] = "request_timeout",
  [HTTP_SERVER_END_ANSWER_UNREAD] = "answer_unread",
  [HTTP_SERVER_END_ANSWER_CUT] = "answer_cut",
  [HTTP_SERVER_END_STOPPING] = "stopping",
  [HTTP_SERVER_END_ROOM] = "room",
  [HTTP_SERVER_END_EVICTED] = "evicted",
  [HTTP_SERVER_END_REFUSED] = "refused",
  [HTTP_SERVER_END_ERROR] = "error",
};

const char *
http_server_end_reason_to_string (http_server_end_reason_t reason)
{
  return reason_names[reason];
}

const char *
http_server_on_hand_to_string (http_server_on_hand_t on_hand)
{
  static const char *const names[] = {
    [HTTP_SERVER_HAND_NONE] = "none",
    [HTTP_SERVER_HAND_PART_OF_REQUEST] = "part_of_request",
    [HTTP_SERVER_HAND_REQUEST] = "request",
    [HTTP_SERVER_HAND_ANSWER] = "answer",
  };

  return names[on_hand];
}

static http_server_on_hand_t
on_hand_of (const http_server_conn_t *conn)
{
  if (conn->busy)
    return conn->call && !conn->call->begun ? HTTP_SERVER_HAND_REQUEST : HTTP_SERVER_HAND_ANSWER;
  if (conn->read_bytes > 0 || evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    return HTTP_SERVER_HAND_PART_OF_REQUEST;
  return HTTP_SERVER_HAND_NONE;
}

static uint64_t
unread_bytes_of (const http_server_conn_t *conn)
{
  int unread = 0;

  if (ioctl (bufferevent_getfd (conn->bev), FIONREAD, &unread) < 0 || unread < 0)
    return 0;
  return (uint64_t)unread;
}

/* libevent tells that it closes a connection, but not why */
static void
find_reason (const http_server_conn_t *conn, http_server_ended_t *ended)
{
  struct pollfd poll_fd = { .fd = bufferevent_getfd (conn->bev), .events = POLLRDHUP };

  ended->by_us = true;
  if (conn->ended_by_us)
    ended->reason = conn->end_reason;
  else if (conn->http_server->freeing)
    ended->reason = HTTP_SERVER_END_STOPPING;
  else if (conn->drain_input && !conn->caller_left)
    ended->reason = HTTP_SERVER_END_REFUSED;
  else if (poll (&poll_fd, 1, 0) > 0)
    {
      ended->by_us = false;
      ended->reason = HTTP_SERVER_END_CLOSED;
    }
  else
    ended->reason = ended->on_hand == HTTP_SERVER_HAND_ANSWER ? HTTP_SERVER_END_ANSWER_UNREAD
                                                              : HTTP_SERVER_END_ERROR;
}

void
http_server_note_end (http_server_conn_t *conn)
{
  http_server_t *http_server = conn->http_server;
  http_server_ended_t ended = {
    .on_hand = on_hand_of (conn),
    .idle_ms = (uint64_t)(g_get_monotonic_time () - conn->active_us) / CLOCK_US_PER_MS,
    .idle_limit_ms = conn->idle_limit_ms,
    .part_bytes = conn->incomplete_bytes,
    .unread_bytes = unread_bytes_of (conn),
  };

  find_reason (conn, &ended);
  counter_add (http_server->ended[ended.reason], 1);
  /* the caller's own close, or that after a last response, which libevent does as well, or one of
   * many that are closed for others */
  if (ended.on_hand == HTTP_SERVER_HAND_NONE && ended.unread_bytes == 0 &&
      (ended.reason == HTTP_SERVER_END_CLOSED || ended.reason == HTTP_SERVER_END_ERROR ||
       ended.reason == HTTP_SERVER_END_ROOM))
    return;
  if (http_server->options.on_ended)
    http_server->options.on_ended (&ended, http_server->options.context);
}
