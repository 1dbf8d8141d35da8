/**
 * DOC: part_news
 *
 * Engines that hold parts, of which a gateway has yet to tell others. Each is told to a few random
 * gateways, which pass on what is new to them. A state machine without I/O.
 *
 * The queue is bounded. The byte budget allows a message or two a second, so where there is more to
 * tell the latest goes first, and the oldest is dropped.
 */
#ifndef REQUEST_POLICY_DIRECTORY_PART_NEWS_H
#define REQUEST_POLICY_DIRECTORY_PART_NEWS_H

#include <stdint.h>

/* Gateways that each gateway tells of an engine and a part. With two, four fifths of all gateways
 * hear of it by calculation, and nearly all with the next report; with three it would take half of
 * the byte budget of the deployed exchange. */
#define PART_NEWS_TIMES 2

/**
 * struct part_news_item - an engine that holds a part
 * @part: hash of the part
 * @engine: hash of the engine
 * @known_us: when it was known to hold the part
 * @times: gateways that are still to be told
 */
typedef struct
{
  uint64_t part;
  uint64_t engine;
  uint64_t known_us;
  uint32_t times;
} part_news_item_t;

typedef struct part_news part_news_t;

/** part_news_new() - @limit: items that wait; further ones push the oldest out */
part_news_t *part_news_new (uint32_t limit);
/** part_news_free() - NULL is allowed */
void part_news_free (part_news_t *news);
/** part_news_add() - @engine, known to hold @part at @known_us, is to be told to %PART_NEWS_TIMES
 * gateways */
void part_news_add (part_news_t *news, uint64_t part, uint64_t engine, uint64_t known_us);
/** part_news_count() - number of items that wait */
uint32_t part_news_count (const part_news_t *news);
/** part_news_take() - the latest items, at most @most, for one gateway; each stays until it was
 * taken %PART_NEWS_TIMES times. Return: their number */
uint32_t part_news_take (part_news_t *news, part_news_item_t *items, uint32_t most);

#endif
