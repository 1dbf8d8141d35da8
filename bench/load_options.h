/**
 * DOC: load_options
 *
 * What the load tool is asked to do, read from its flags.
 */
#ifndef BENCH_LOAD_OPTIONS_H
#define BENCH_LOAD_OPTIONS_H

#include "base/settings.h"

#include <stdbool.h>
#include <stdint.h>

#define LOP_LIMIT_TARGETS 1024
#define LOP_LIMIT_ACCOUNTS 2048
#define LOP_LIMIT_CLASSES 32
#define LOP_LIMIT_REQUESTS 20000000
#define LOP_LIMIT_CHATS 2000000
#define LOP_LIMIT_CONCURRENCY 20000
#define LOP_LIMIT_TIME_S (24 * 3600)

/** enum lop_side - where a request goes: through the fleet, or straight to an engine */
typedef enum
{
  LOP_FLEET,
  LOP_DIRECT,
  LOP_SIDES
} lop_side_t;

typedef struct
{
  char name[LIM_NAME_BYTES];
  char key[128];
  uint32_t weight;
} lop_account_t;

/** struct lop_class - @max_tokens: output asked for; 0 is the tool's default */
typedef struct
{
  char name[LIM_NAME_BYTES];
  uint32_t weight;
  uint32_t max_tokens;
} lop_class_t;

/**
 * struct lop - the options
 * @rate_s: open loop: requests a second; 0 is a closed loop of @concurrency callers
 * @concurrency: callers of the closed loop; in the open one, requests in flight at most
 * @zipf: exponent of the choice of chats; 0 is uniform
 * @pause_ms: mean pause of a chat between an answer and its next turn
 * @history_limit_bytes: a chat whose history is longer starts anew
 * @plain_share: share of requests that go to @plain_path instead of a chat
 * @direct_share: share of the chats that go to the engines, when both sides have targets
 * @idle: connections to open and hold instead of sending requests
 */
typedef struct
{
  set_address_t targets[LOP_SIDES][LOP_LIMIT_TARGETS];
  uint32_t target_count[LOP_SIDES];
  lop_account_t accounts[LOP_LIMIT_ACCOUNTS];
  uint32_t account_count;
  lop_class_t classes[LOP_LIMIT_CLASSES];
  uint32_t class_count;
  bool has_classes; /* false: none was named, and requests name none */
  char model[LIM_NAME_BYTES];
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
} lop_t;

/** lop_load() - ends the process with status 2 after a message when a flag is wrong */
lop_t *lop_load (int argc, char **argv);

#endif
