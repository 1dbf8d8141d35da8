/**
 * DOC: settings_table
 *
 * Declarations of all settings: name, type, range, default, the roles that require it, and help
 * text. Flags, environment variables, --help and --check-settings are derived from this table; a
 * test compares docs/settings.md with it.
 */
#ifndef BASE_SETTINGS_TABLE_H
#define BASE_SETTINGS_TABLE_H

#include "base/settings.h"

#include <stddef.h>

#define SET_ERROR (set_error_quark ())
GQuark set_error_quark (void);
typedef enum
{
  SET_ERROR_VALUE,   /* invalid value */
  SET_ERROR_MISSING, /* a required setting is not given */
  SET_ERROR_FLAG,    /* unknown flag, flag without its value, or unexpected argument */
  SET_ERROR_CONFLICT /* settings that can't be combined */
} set_error_t;

typedef enum
{
  SET_KIND_ROLE,
  SET_KIND_NAME,
  SET_KIND_ADDRESS,
  SET_KIND_SEEDS,   /* comma-separated addresses; may be empty */
  SET_KIND_REGIONS, /* comma-separated DATA-CENTRE=REGION; may be empty */
  SET_KIND_NUMBER,
  SET_KIND_BOOLEAN,
  SET_KIND_MILLI,      /* decimal number, stored in thousandths */
  SET_KIND_LEVEL,      /* log level */
  SET_KIND_SECRET,     /* environment only: other users of the host can see flags; never printed */
  SET_KIND_SECRET_FILE /* path of a file that contains the secret */
} set_kind_t;

typedef enum
{
  SET_NEED_ALL,     /* required in every role */
  SET_NEED_SIDECAR, /* required for a sidecar, refused in other roles */
  SET_NEED_GATEWAY, /* required for a gateway, refused in other roles */
  SET_NEED_NONE     /* optional: has a default, or another setting replaces it */
} set_need_t;

/**
 * struct set_row - declaration of one setting
 * @name: name of the flag without its dashes
 * @kind: type of the value
 * @need: which roles require it
 * @minimum: smallest number, or shortest secret in bytes
 * @maximum: largest number, or longest secret in bytes
 * @offset: offset of its field in set_t
 * @default_text: default value, or NULL
 * @help: description for --help and docs/settings.md
 */
typedef struct
{
  const char *name;
  set_kind_t kind;
  set_need_t need;
  uint32_t minimum;
  uint32_t maximum;
  size_t offset;
  const char *default_text;
  const char *help;
} set_row_t;

/** set_rows() - all settings. Return: a static array of @count elements */
const set_row_t *set_rows (uint32_t *count);
/** set_row_find() - look up a setting. Return: NULL if there is none of that name */
const set_row_t *set_row_find (const char *name);
/** set_row_env() - name of its environment variable, to be freed with g_free() */
char *set_row_env (const set_row_t *setting);
/** set_row_is_flag() - whether it can be given as a flag; a secret can't */
bool set_row_is_flag (const set_row_t *setting);
/** set_row_allowed() - description of its allowed values, to be freed with g_free() */
char *set_row_allowed (const set_row_t *setting);
/** set_row_needed() - description of the roles that require it; a static text */
const char *set_row_needed (const set_row_t *setting);

/**
 * set_row_apply() - parse a value and store it in its field of @settings
 * @setting: the setting
 * @text: the value
 * @origin: the flag or environment variable that @text was given by, for the error message
 * @settings: filled in
 * @error: set if the value is invalid
 *
 * Return: false with @error if the value is invalid
 */
bool set_row_apply (const set_row_t *setting,
                    const char *text,
                    const char *origin,
                    set_t *settings,
                    GError **error);
/** set_row_value() - format its value in @settings, except for a secret, as set_row_apply() reads
 * it. Return: the text, to be freed with g_free() */
char *set_row_value (const set_row_t *setting, const set_t *settings);

#endif
