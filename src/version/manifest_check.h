/**
 * DOC: manifest_check
 *
 * Typed reading of the members of a JSON object. Every failure sets an error that starts with the
 * path of the fault; text from the document is shown escaped and shortened.
 */
#ifndef VERSION_MANIFEST_CHECK_H
#define VERSION_MANIFEST_CHECK_H

#include "version/manifest.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct mck - an object that is being read
 * @json: the object, borrowed
 * @path: where it stands in the document, "" for the document itself
 */
typedef struct
{
  const json_t *json;
  char *path;
} mck_t;

/** struct mck_range - what a number may be, and what it is when it is not there */
typedef struct
{
  uint32_t min;
  uint32_t max;
  uint32_t normal;
} mck_range_t;

/** mck_fail() - set an error at @path, or at @key below it. Return: false */
bool mck_fail (
    GError **error, man_error_t code, const char *path, const char *key, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/** mck_enter() - start to read @json; @known ends with NULL. Free by mck_leave() in any case */
bool mck_enter (mck_t *mck,
                const json_t *json,
                const char *parent,
                const char *key,
                const char *const *known,
                GError **error);
/** mck_enter_item() - as mck_enter(), for an item of the array @key */
bool mck_enter_item (mck_t *mck,
                     const json_t *json,
                     const char *key,
                     size_t index,
                     const char *const *known,
                     GError **error);
void mck_leave (mck_t *mck);

/** mck_u32() - a whole number within @range; its normal value when it is not there */
bool
mck_u32 (const mck_t *mck, const char *key, mck_range_t range, uint32_t *value, GError **error);
/** mck_bool() - leaves @value as it is when the key is not there */
bool mck_bool (const mck_t *mck, const char *key, bool *value, GError **error);
/** mck_text() - a required string, borrowed */
bool mck_text (const mck_t *mck, const char *key, const char **value, GError **error);
/** mck_copy() - a string that fits; "" when it is not there and not @required */
bool mck_copy (
    const mck_t *mck, const char *key, bool required, char *out, size_t out_bytes, GError **error);
/** mck_members() - a required object with at least one member */
bool mck_members (const mck_t *mck, const char *key, json_t **value, GError **error);
/** mck_items() - a required array with at least one item */
bool mck_items (const mck_t *mck, const char *key, json_t **value, GError **error);
/** mck_name() - whether @name can name a service, account, class or engine, standing at @path */
bool mck_name (const char *name, const char *path, const char *key, GError **error);
/** mck_depth() - whether @json is nested no deeper than @limit */
bool mck_depth (const json_t *json, uint32_t limit);

#endif
