/**
 * DOC: json_reader
 *
 * Typed access to the members of a JSON object. Every failure sets an error whose message starts
 * with the path of the invalid member; text quoted from the document is escaped and truncated.
 */
#ifndef VERSION_JSON_READER_H
#define VERSION_JSON_READER_H

#include "version/manifest.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct reader - a JSON object that is being read
 * @json: the object, borrowed
 * @path: path of the object in the document; "" for the document itself
 */
typedef struct
{
  const json_t *json;
  char *path;
} json_reader_t;

/** struct json_reader_range - valid range of a number, and the value that it takes when it is
 * absent */
typedef struct
{
  uint32_t min;
  uint32_t max;
  uint32_t default_value;
} json_reader_range_t;

/** json_reader_fail() - set an error for the member @key of the object at @path, or for the object
 * itself when @key is NULL. Return: false */
bool json_reader_fail (GError **error,
                       manifest_error_t code,
                       const char *path,
                       const char *key,
                       const char *format,
                       ...) __attribute__ ((format (printf, 5, 6)));

/**
 * json_reader_init() - begin to read @json, the member @key of the object at @parent
 * @key: NULL when @parent is the path of @json itself
 * @allowed: the allowed keys, terminated by NULL
 *
 * json_reader_clear() must be called even after a failure.
 *
 * Return: false when @json is not an object or has an unknown key
 */
bool json_reader_init (json_reader_t *reader,
                       const json_t *json,
                       const char *parent,
                       const char *key,
                       const char *const *allowed,
                       GError **error);
/** json_reader_init_item() - like json_reader_init(), for an item of the top-level array @key */
bool json_reader_init_item (json_reader_t *reader,
                            const json_t *json,
                            const char *key,
                            size_t index,
                            const char *const *allowed,
                            GError **error);
/** json_reader_clear() - release the path */
void json_reader_clear (json_reader_t *reader);

/** json_reader_get_u32() - read an optional integer in @range; an absent key yields the default
 * value */
bool json_reader_get_u32 (const json_reader_t *reader,
                          const char *key,
                          json_reader_range_t range,
                          uint32_t *value,
                          GError **error);
/** json_reader_get_bool() - read an optional boolean; an absent key leaves @value unchanged */
bool
json_reader_get_bool (const json_reader_t *reader, const char *key, bool *value, GError **error);
/** json_reader_get_string() - read a required string, borrowed from the document */
bool json_reader_get_string (const json_reader_t *reader,
                             const char *key,
                             const char **value,
                             GError **error);
/** json_reader_copy_string() - copy a string of 1 to @out_bytes - 1 bytes; an absent key yields ""
 * unless it is
 * @required */
bool json_reader_copy_string (const json_reader_t *reader,
                              const char *key,
                              bool required,
                              char *out,
                              size_t out_bytes,
                              GError **error);
/** json_reader_get_object() - read a required object with at least one member, borrowed */
bool json_reader_get_object (const json_reader_t *reader,
                             const char *key,
                             json_t **value,
                             GError **error);
/** json_reader_get_array() - read a required array with at least one item, borrowed */
bool json_reader_get_array (const json_reader_t *reader,
                            const char *key,
                            json_t **value,
                            GError **error);
/** json_reader_check_name() - whether @name is a valid name of a service, account, class or engine;
 * @path and
 * @key locate it in the error */
bool json_reader_check_name (const char *name, const char *path, const char *key, GError **error);
/** json_reader_check_depth() - whether @json is nested at most @limit levels deep */
bool json_reader_check_depth (const json_t *json, uint32_t limit);

#endif
