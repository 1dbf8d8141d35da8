/**
 * DOC: http_input
 *
 * Limits on what a peer sends outside of the bodies of one HTTP message: heads of status 1xx, the
 * size lines of chunks, trailers. evhttp has no limits of its own there, or searches an unfinished
 * line anew after each read: an upstream that repeated "100 Continue" took 4 GB and a core.
 *
 * Also refuses what evhttp would take for the end of a message though it is none: a line that
 * starts with a NUL is an empty one to evhttp, and a value ends at a NUL; a size line without a
 * size, or with a sign, may be that of the last chunk.
 *
 * Reads the bytes in the order of arrival, before evhttp does, and keeps no more than part of a
 * line. A state machine without sockets. Where the framing of a head is ambiguous, it assumes
 * chunks: such messages are refused once their head is complete (http_framing).
 */
#ifndef CONNECTION_HTTP_INPUT_H
#define CONNECTION_HTTP_INPUT_H

#include "base/limits.h"

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct http_input_limits - limits for one message; 0 for none
 * @is_response: the first line must be a status line
 * @head_bytes: all heads and trailers together
 * @head_lines: likewise; evhttp keeps each header in allocations of its own
 * @chunk_bytes: one chunk: evhttp passes on whole chunks only
 * @free_chunks: chunks of any size; more of them must have %LIMIT_HTTP_CHUNK_MEAN_BYTES on average
 */
typedef struct
{
  bool is_response;
  uint64_t head_bytes;
  uint64_t head_lines;
  uint64_t chunk_bytes;
  uint64_t free_chunks;
} http_input_limits_t;

typedef enum
{
  HTTP_INPUT_FIRST_LINE,
  HTTP_INPUT_HEADERS,
  HTTP_INPUT_CHUNK_LINE,
  HTTP_INPUT_CHUNK_DATA,
  HTTP_INPUT_CHUNK_END, /* the end of line after the data */
  HTTP_INPUT_TRAILER,
  HTTP_INPUT_REST,   /* a body that is not in chunks, or nothing */
  HTTP_INPUT_OVER,   /* a limit was exceeded */
  HTTP_INPUT_INVALID /* no HTTP; evhttp may find the end of the message too early */
} http_input_state_t;

/**
 * struct http_input - what one message has brought so far
 * @head_started: the first byte of a head has arrived, the last one has not
 * @interim: the current head is of status 1xx, after which another one follows
 * @chunked: the current head has a Transfer-Encoding
 * @declared_bytes: length of the body by the head
 * @line: start of the current line, without its end
 * @line_bytes: length of the current line so far
 * @left_bytes: rest of the current chunk
 * @data_bytes: in all chunks
 * @lines: all lines; they cost processor time beside their bytes
 */
typedef struct
{
  http_input_limits_t limits;
  http_input_state_t state;
  bool head_started;
  bool interim;
  bool chunked;
  uint64_t declared_bytes;
  char line[LIMIT_HTTP_CHUNK_LINE_BYTES + 1];
  uint64_t line_bytes;
  uint64_t left_bytes;
  uint64_t head_bytes;
  uint64_t head_lines;
  uint64_t data_bytes;
  uint64_t chunks;
  uint64_t lines;
  uint32_t interim_heads;
} http_input_t;

/** http_input_init() - expect the first byte of a message */
void http_input_init (http_input_t *input, const http_input_limits_t *limits);
/** http_input_read() - take the next bytes of the message. Return: false when a limit is exceeded
 * or the message is invalid; it must not be used then */
bool http_input_read (http_input_t *input, const char *bytes, size_t count);
/** http_input_read_last() - likewise for the last @count bytes of @buffer */
bool http_input_read_last (http_input_t *input, struct evbuffer *buffer, size_t count);

#endif
