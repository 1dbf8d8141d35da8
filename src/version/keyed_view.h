/**
 * DOC: keyed_view
 *
 * A local copy of the newest record of each key of a keyed stream. Records arrive from the stream
 * itself, from listings of its newest records, and from peers, in any order and possibly more than
 * once. The record with the higher offset wins, and a key that a listing lacks stays deleted for
 * all records before the end of that listing, so all readers converge to the same view. This is a
 * deterministic state machine without I/O.
 */
#ifndef VERSION_KEYED_VIEW_H
#define VERSION_KEYED_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct view keyed_view_t;

/** keyed_view_visit_t - called with the record of @key; @value is NULL when the key was deleted. A
 * NUL that @value_bytes does not count terminates @value */
typedef void (*keyed_view_visit_t) (
    const char *key, const char *value, size_t value_bytes, uint64_t offset, void *context);

/** keyed_view_new() - an empty view, which calls @changed whenever the record of a key changes */
keyed_view_t *keyed_view_new (keyed_view_visit_t changed, void *context);
void keyed_view_free (keyed_view_t *view);
/** keyed_view_apply() - apply a record; a @value of NULL deletes the key. Return: whether the
 * record is newer than the known one */
bool keyed_view_apply (
    keyed_view_t *view, uint64_t offset, const char *key, const char *value, size_t value_bytes);
/** keyed_view_list_begin() - begin a listing of the newest records, which follow by
 * keyed_view_apply(). No other record may be applied until keyed_view_list_end(), as it would count
 * as listed */
void keyed_view_list_begin (keyed_view_t *view);
/**
 * keyed_view_list_end() - end a listing after its last page
 * @end_offset: end of the stream before the first page was read
 *
 * Deletes the keys that were not listed, unless their record is newer than the listing. A listing
 * that is not newer than the last one deletes none, and adds none that the last one lacked.
 */
void keyed_view_list_end (keyed_view_t *view, uint64_t end_offset);
/** keyed_view_get() - the value of @key, with its size and offset; NULL when there is none */
const char *
keyed_view_get (const keyed_view_t *view, const char *key, size_t *value_bytes, uint64_t *offset);
/** keyed_view_listed_offset() - end offset of the newest complete listing; the view has no record
 * of deletions before it. Never decreases */
uint64_t keyed_view_listed_offset (const keyed_view_t *view);
/** keyed_view_revision() - a counter that increases with each newer record and each complete
 * listing */
uint64_t keyed_view_revision (const keyed_view_t *view);
/** keyed_view_bytes_since() - total size of the values that keyed_view_visit_since() visits */
size_t keyed_view_bytes_since (const keyed_view_t *view, uint64_t from_offset);
/** keyed_view_visit_since() - call @visit for each key whose record is at @from_offset or later,
 * also for deleted keys */
void keyed_view_visit_since (const keyed_view_t *view,
                             uint64_t from_offset,
                             keyed_view_visit_t visit,
                             void *context);

#endif
