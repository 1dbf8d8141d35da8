/**
 * DOC: gateway_directory
 *
 * Tells other gateways which engines hold shared parts of prompts, and takes what they tell, see
 * part_holders.h and part_news.h. At most one message is sent in each interval, within the spare
 * part of the byte budget.
 */
#ifndef PROCESS_GATEWAY_DIRECTORY_H
#define PROCESS_GATEWAY_DIRECTORY_H

#include "base/clock.h"
#include "base/counters.h"
#include "process/gateway_peers.h"

#include <event2/event.h>

/* Interval of messages. A full one has 796 bytes, so they take at most 40% of the deployed budget
 * of 4,000 bytes a second. */
#define GATEWAY_DIRECTORY_TELL_MS 500
/* Items that wait: 8 s of full messages. */
#define GATEWAY_DIRECTORY_NEWS_MAX 512

/**
 * struct gateway_directory_options - options of gateway_directory_new(); the pointers are borrowed
 * @note_part: another gateway knew an engine to hold a part at @known_us. Return: whether to pass
 * it on
 */
typedef struct
{
  struct event_base *base;
  const clock_source_t *clock;
  counter_registry_t *counters;
  gateway_peers_t *peers;
  bool (*note_part) (uint64_t part, uint64_t engine, uint64_t known_us, void *context);
  void *context;
} gateway_directory_options_t;

typedef struct gateway_directory gateway_directory_t;

gateway_directory_t *gateway_directory_new (const gateway_directory_options_t *options);
void gateway_directory_free (gateway_directory_t *directory);
/** gateway_directory_tell() - the engine @engine holds @part now, which others are to be told */
void gateway_directory_tell (gateway_directory_t *directory, uint64_t part, uint64_t engine);
/** gateway_directory_receive() - handles a message of another gateway */
void gateway_directory_receive (gateway_directory_t *directory, const xch_parts_message *message);

#endif
