/**
 * DOC: load_options
 *
 * Command-line options of the load tool.
 */
#ifndef BENCH_LOAD_OPTIONS_H
#define BENCH_LOAD_OPTIONS_H

#include "base/settings.h"

#include <stdbool.h>
#include <stdint.h>

#define LOAD_MAX_TARGETS 1024
#define LOAD_MAX_ACCOUNTS 2048
#define LOAD_MAX_CLASSES 32
#define LOAD_MAX_REQUESTS 20000000
#define LOAD_MAX_CHATS 2000000
#define LOAD_MAX_CONCURRENCY 20000
#define LOAD_MAX_TIME_S (24 * 3600)

/** enum load_side - where a request goes: to a router, or straight to an engine */
typedef enum
{
  LOAD_SIDE_ROUTERS,
  LOAD_SIDE_ENGINES,
  LOAD_SIDE_COUNT /* number of sides */
} load_side_t;

/**
 * struct load_account - a client account
 * @key: its API key
 * @weight: share of the chats, relative to the other accounts
 */
typedef struct
{
  char name[LIMIT_NAME_BYTES];
  char key[128];
  uint32_t weight;
} load_account_t;

/**
 * struct load_class - a request class
 * @weight: share of the requests, relative to the other classes
 * @max_tokens: output tokens to ask for; 0 for the tool's default
 */
typedef struct
{
  char name[LIMIT_NAME_BYTES];
  uint32_t weight;
  uint32_t max_tokens;
} load_class_t;

/**
 * struct load_options - the options
 * @targets: addresses of the routers and of the engines
 * @has_classes: false if no class was given, and requests don't name one
 * @model: model name in the requests
 * @requests: limit of requests
 * @time_s: time after which no more requests are sent
 * @rate_s: requests a second in an open loop (sent whether or not earlier ones have ended); 0 for a
 *   closed loop of @concurrency workers, each of which waits for its answer
 * @concurrency: workers of the closed loop; in an open loop, the most requests in flight
 * @chats: number of chats
 * @zipf: exponent of the Zipf distribution by which chats are chosen; 0 for uniform
 * @pause_ms: mean pause of a chat between an answer and its next turn
 * @first_bytes, @turn_bytes: text of the first user message of a chat, and of each later one
 * @history_limit_bytes: a chat with a longer history starts again with an empty one
 * @max_tokens: output tokens to ask for, where the class doesn't say
 * @stream_share: fraction of the chat requests that ask for a stream
 * @plain_share: fraction of the requests that go to @plain_path and belong to no chat
 * @direct_share: fraction of the chats and plain requests that go straight to the engines, if both
 *   sides have targets
 * @idle: if not 0, this many connections are opened and kept idle, and no requests are sent
 * @json, @tsv: output format; text if neither is set
 */
typedef struct
{
  address_t targets[LOAD_SIDE_COUNT][LOAD_MAX_TARGETS];
  uint32_t target_count[LOAD_SIDE_COUNT];
  load_account_t accounts[LOAD_MAX_ACCOUNTS];
  uint32_t account_count;
  load_class_t classes[LOAD_MAX_CLASSES];
  uint32_t class_count;
  bool has_classes;
  char model[LIMIT_NAME_BYTES];
  uint64_t requests;
  uint64_t time_s;
  double rate_s;
  uint32_t concurrency;
  uint32_t chats;
  double zipf;
  uint64_t pause_ms;
  uint32_t first_bytes;
  uint32_t turn_bytes;
  uint32_t history_limit_bytes;
  uint32_t max_tokens;
  double stream_share;
  double plain_share;
  char plain_path[256];
  char plain_method[16];
  double direct_share;
  uint64_t timeout_ms;
  uint32_t idle;
  uint32_t seed;
  bool json;
  bool tsv;
} load_options_t;

/** load_options_parse() - parses the flags; on an invalid one, prints a message and exits with
 * status 2 */
load_options_t *load_options_parse (int argc, char **argv);

#endif
