/**
 * DOC: json_reader
 *
 * Typed access to the members of a JSON object. Every failure sets an error whose message starts
 * with the path of the invalid member; text quoted from the document is escaped and truncated.
 */
#ifndef VERSION_MANIFEST_CHECK_H
#define VERSION_MANIFEST_CHECK_H

#include "version/manifest.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct mck - a JSON object that is being read
 * @json: the object, borrowed
 * @path: path of the object in the document; "" for the document itself
 */
typedef struct
{
  const json_t *json;
  char *path;
} mck_t;

/** struct mck_range - valid range of a number, and the value that it takes when it is absent */
typedef struct
{
  uint32_t min;
  uint32_t max;
  uint32_t default_value;
} mck_range_t;

/** mck_fail() - set an error for the member @key of the object at @path, or for the object itself
 * when @key is NULL. Return: false */
bool mck_fail (
    GError **error, man_error_t code, const char *path, const char *key, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/**
 * mck_enter() - begin to read @json, the member @key of the object at @parent
 * @key: NULL when @parent is the path of @json itself
 * @allowed: the allowed keys, terminated by NULL
 *
 * mck_leave() must be called even after a failure.
 *
 * Return: false when @json is not an object or has an unknown key
 */
bool mck_enter (mck_t *mck,
                const json_t *json,
                const char *parent,
                const char *key,
                const char *const *allowed,
                GError **error);
/** mck_enter_item() - like mck_enter(), for an item of the top-level array @key */
bool mck_enter_item (mck_t *mck,
                     const json_t *json,
                     const char *key,
                     size_t index,
                     const char *const *allowed,
                     GError **error);
/** mck_leave() - release the path */
void mck_leave (mck_t *mck);

/** mck_u32() - read an optional integer in @range; an absent key yields the default value */
bool
mck_u32 (const mck_t *mck, const char *key, mck_range_t range, uint32_t *value, GError **error);
/** mck_bool() - read an optional boolean; an absent key leaves @value unchanged */
bool mck_bool (const mck_t *mck, const char *key, bool *value, GError **error);
/** mck_text() - read a required string, borrowed from the document */
bool mck_text (const mck_t *mck, const char *key, const char **value, GError **error);
/** mck_copy() - copy a string of 1 to @out_bytes - 1 bytes; an absent key yields "" unless it is
 * @required */
bool mck_copy (
    const mck_t *mck, const char *key, bool required, char *out, size_t out_bytes, GError **error);
/** mck_members() - read a required object with at least one member, borrowed */
bool mck_members (const mck_t *mck, const char *key, json_t **value, GError **error);
/** mck_items() - read a required array with at least one item, borrowed */
bool mck_items (const mck_t *mck, const char *key, json_t **value, GError **error);
/** mck_name() - whether @name is a valid name of a service, account, class or engine; @path and
 * @key locate it in the error */
bool mck_name (const char *name, const char *path, const char *key, GError **error);
/** mck_depth() - whether @json is nested at most @limit levels deep */
bool mck_depth (const json_t *json, uint32_t limit);

#endif
