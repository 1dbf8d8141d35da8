/**
 * DOC: keyed_view
 *
 * A local copy of the newest record of each key of a keyed stream. Records arrive from the stream
 * itself, from listings of its newest records, and from peers, in any order and possibly more than
 * once. The record with the higher offset wins, so all readers converge to the same view. This is a
 * deterministic state machine without I/O.
 */
#ifndef VERSION_KEYED_VIEW_H
#define VERSION_KEYED_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct kvw kvw_t;

/** kvw_changed_t - called with the record of @key; @value is NULL when the key was deleted. A NUL
 * that @value_bytes does not count terminates @value */
typedef void (*kvw_changed_t) (
    const char *key, const char *value, size_t value_bytes, uint64_t offset, void *context);

/** kvw_new() - an empty view, which calls @changed whenever the record of a key changes */
kvw_t *kvw_new (kvw_changed_t changed, void *context);
void kvw_free (kvw_t *kvw);
/** kvw_apply() - apply a record; a @value of NULL deletes the key. Return: whether the record is
 * newer than the known one */
bool
kvw_apply (kvw_t *kvw, uint64_t offset, const char *key, const char *value, size_t value_bytes);
/** kvw_list_begin() - begin a listing of the newest records, which follow by kvw_apply() */
void kvw_list_begin (kvw_t *kvw);
/**
 * kvw_list_end() - end a listing after its last page
 * @end_offset: end of the stream before the first page was read
 *
 * Deletes the keys that were not listed, unless their record is newer than the listing.
 */
void kvw_list_end (kvw_t *kvw, uint64_t end_offset);
/** kvw_get() - the value of @key, with its size and offset; NULL when there is none */
const char *kvw_get (const kvw_t *kvw, const char *key, size_t *value_bytes, uint64_t *offset);
/** kvw_listed_offset() - end offset of the last complete listing; the view has no record of
 * deletions before it */
uint64_t kvw_listed_offset (const kvw_t *kvw);
/** kvw_revision() - a counter that increases with each newer record and each complete listing */
uint64_t kvw_revision (const kvw_t *kvw);
/** kvw_bytes_since() - total size of the values that kvw_since() visits */
size_t kvw_bytes_since (const kvw_t *kvw, uint64_t from_offset);
/** kvw_since() - call @visit for each key whose record is at @from_offset or later, also for
 * deleted keys */
void kvw_since (const kvw_t *kvw, uint64_t from_offset, kvw_changed_t visit, void *context);

#endif
