#include "process/gateway_directory.h"

#include "request/policy/directory/part_holders.h"
#include "request/policy/directory/part_news.h"

/** struct gateway_directory - see the header; @tell_timer: sends the next message */
struct gateway_directory
{
  gateway_directory_options_t options;
  struct event *tell_timer;
  part_news_t *news;
  counter_t *told_count;
  counter_t *heard_count;
  counter_t *held_count;
};

static uint64_t
now_us (const gateway_directory_t *directory)
{
  return clock_now_us (directory->options.clock);
}

static void
start_timer (gateway_directory_t *directory)
{
  struct timeval wait = { 0, GATEWAY_DIRECTORY_TELL_MS * 1000 };

  if (part_news_count (directory->news) > 0 &&
      !event_pending (directory->tell_timer, EV_TIMEOUT, NULL))
    event_add (directory->tell_timer, &wait);
}

static void
send_news (gateway_directory_t *directory)
{
  part_news_item_t items[XCH_PARTS];
  xch_part parts[XCH_PARTS];
  uint32_t count = part_news_take (directory->news, items, XCH_PARTS);
  xch_parts_message message = { .sender_hash = gateway_peers_own_hash (directory->options.peers),
                                .parts = { .parts_len = count, .parts_val = parts } };

  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t age_us = now_us (directory) - MIN (items[i].known_us, now_us (directory));

      parts[i] = (xch_part){ .part = items[i].part,
                             .engine_hash = items[i].engine,
                             .age_ms = (uint32_t)MIN (age_us / CLOCK_US_PER_MS, UINT32_MAX) };
    }
  if (gateway_peers_send_parts (directory->options.peers, &message))
    counter_add (directory->told_count, count);
}

static void
on_tell_timer (evutil_socket_t fd, short what, void *context)
{
  gateway_directory_t *directory = context;

  (void)fd;
  (void)what;
  if (gateway_peers_has_spare_budget (directory->options.peers))
    send_news (directory);
  else
    counter_add (directory->held_count, 1);
  start_timer (directory);
}

gateway_directory_t *
gateway_directory_new (const gateway_directory_options_t *options)
{
  gateway_directory_t *directory = g_new0 (gateway_directory_t, 1);

  directory->options = *options;
  directory->news = part_news_new (GATEWAY_DIRECTORY_NEWS_MAX);
  directory->tell_timer = evtimer_new (options->base, on_tell_timer, directory);
  directory->told_count =
      counter_get (options->counters, "medlarplank_parts_told_total",
                   "Engines that hold parts of prompts, told to other gateways");
  directory->heard_count = counter_get (options->counters, "medlarplank_parts_heard_total",
                                        "Engines that hold parts of prompts, heard of from others");
  directory->held_count =
      counter_get (options->counters, "medlarplank_parts_held_back_total",
                   "Times that engines that hold parts waited for byte budget to be told");
  return directory;
}

void
gateway_directory_free (gateway_directory_t *directory)
{
  event_free (directory->tell_timer);
  part_news_free (directory->news);
  g_free (directory);
}

void
gateway_directory_tell (gateway_directory_t *directory, uint64_t part, uint64_t engine)
{
  part_news_add (directory->news, part, engine, now_us (directory));
  start_timer (directory);
}

void
gateway_directory_receive (gateway_directory_t *directory, const xch_parts_message *message)
{
  uint64_t at_us = now_us (directory);

  counter_add (directory->heard_count, message->parts.parts_len);
  for (uint32_t i = 0; i < message->parts.parts_len; i++)
    {
      const xch_part *part = &message->parts.parts_val[i];
      uint64_t age_us = (uint64_t)part->age_ms * CLOCK_US_PER_MS;
      uint64_t known_us = at_us - MIN (age_us, at_us);

      if (directory->options.note_part (part->part, part->engine_hash, known_us,
                                        directory->options.context))
        part_news_add (directory->news, part->part, part->engine_hash, known_us);
    }
  start_timer (directory);
}
