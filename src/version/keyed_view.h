/**
 * DOC: keyed_view
 *
 * A local copy of the newest record of each key of a keyed stream. Records arrive from the stream
 * itself, from listings of its newest records, and from peers, in any order and possibly more than
 * once. The record with the later position wins, and a key that a listing lacks stays deleted for
 * all records before the end of that listing, so all readers converge to the same view. This is a
 * deterministic state machine without I/O.
 *
 * When the stream comes back from a copy it begins a new era without the newest records of the era
 * before, most of which are written again within seconds. Meanwhile nothing goes back:
 *
 * - A record of a new era that is older by its value is held back, and the known one stays.
 * - A key that the first listing of a new era lacks is kept until keyed_view_drop_missing().
 * - Where values tell no order, a record takes effect if its offset is not below that of the known
 *   one, or if it was written after the first listing of the era. For any other the known state
 *   stays until keyed_view_apply_held().
 *
 * A writer whose call was not answered may find it done seconds later. A record of a deleted key
 * that is older by its value than the last one before is held back likewise, also within an era.
 */
#ifndef VERSION_KEYED_VIEW_H
#define VERSION_KEYED_VIEW_H

#include "base/position.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct view keyed_view_t;

/** keyed_view_visit_t - called with the record of @key; @value is NULL when the key was deleted. A
 * NUL that @value_bytes does not count terminates @value */
typedef void (*keyed_view_visit_t) (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context);

/** enum keyed_view_order - how a value is related to another one of its key */
typedef enum
{
  KEYED_VIEW_OLDER,
  KEYED_VIEW_PERHAPS_OLDER, /* unless nothing newer comes until keyed_view_apply_held() */
  KEYED_VIEW_SAME_AGE,
  KEYED_VIEW_NEWER,
  KEYED_VIEW_UNORDERED /* the values don't tell */
} keyed_view_order_t;

/** keyed_view_compare_t - how @value is related to the @known value. Called for records of
 * different eras, and for those of deleted keys */
typedef keyed_view_order_t (*keyed_view_compare_t) (const char *key,
                                                    const char *known,
                                                    size_t known_bytes,
                                                    const char *value,
                                                    size_t value_bytes,
                                                    void *context);

/** keyed_view_new() - an empty view, which calls @changed whenever the record of a key changes;
 * without @compare, values tell no order */
keyed_view_t *keyed_view_new (keyed_view_visit_t changed,
                              void *changed_context,
                              keyed_view_compare_t compare,
                              void *compare_context);
void keyed_view_free (keyed_view_t *view);
/** keyed_view_apply() - apply a record; a @value of NULL deletes the key. Return: whether the
 * record replaces the known one */
bool keyed_view_apply (keyed_view_t *view,
                       position_t position,
                       const char *key,
                       const char *value,
                       size_t value_bytes);
/** keyed_view_list_begin() - begin a listing of the newest records, which follow by
 * keyed_view_apply(). No other record may be applied until keyed_view_list_end(), as it would count
 * as listed */
void keyed_view_list_begin (keyed_view_t *view);
/**
 * keyed_view_list_end() - end a listing after its last page
 * @end: end of the stream before the first page was read
 *
 * Deletes the keys that were not listed, unless their record is later than the listing or of an era
 * before. A listing that is not later than the last one deletes none, and adds none that the last
 * one lacked.
 */
void keyed_view_list_end (keyed_view_t *view, position_t end);
/** keyed_view_drop_missing() - delete the keys whose record is of an era before that of the last
 * listing and which the stream does not have in this era */
void keyed_view_drop_missing (keyed_view_t *view);
/** keyed_view_age() - raise the age of the records that are held back by one */
void keyed_view_age (keyed_view_t *view);
/** keyed_view_apply_held() - apply the records that were held back because values tell no order, or
 * perhaps another one, or because the key was deleted; of keys that begin with @prefix, "" for all,
 * whose records have been held back for @min_age calls of keyed_view_age() at least */
void keyed_view_apply_held (keyed_view_t *view, const char *prefix, uint32_t min_age);
/** keyed_view_get() - the value of @key, with its size and position; NULL when there is none */
const char *keyed_view_get (const keyed_view_t *view,
                            const char *key,
                            size_t *value_bytes,
                            position_t *position);
/** keyed_view_has_in_era() - whether the newest record of @key that is known of the era of the last
 * listing has this @value */
bool keyed_view_has_in_era (const keyed_view_t *view,
                            const char *key,
                            const char *value,
                            size_t value_bytes);
/** keyed_view_listed() - end of the newest complete listing; the view has no record of deletions
 * before it. Never decreases */
position_t keyed_view_listed (const keyed_view_t *view);
/** keyed_view_revision() - a counter that increases with each newer record and each complete
 * listing */
uint64_t keyed_view_revision (const keyed_view_t *view);
/** keyed_view_held_count() - number of records that are held back, and of keys that the stream does
 * not have in the era of the last listing */
uint32_t keyed_view_held_count (const keyed_view_t *view);
/** keyed_view_bytes_since() - total size of the values that keyed_view_visit_since() visits */
size_t keyed_view_bytes_since (const keyed_view_t *view, position_t from);
/** keyed_view_visit_since() - call @visit for each key whose record is at @from or later, also for
 * deleted keys. Of a key with a record of a later era that is held back, the known one is visited
 * first */
void keyed_view_visit_since (const keyed_view_t *view,
                             position_t from,
                             keyed_view_visit_t visit,
                             void *context);

#endif
