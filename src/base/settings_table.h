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

#define SETTINGS_ERROR (settings_error_quark ())
GQuark settings_error_quark (void);
typedef enum
{
  SETTINGS_ERROR_VALUE,   /* invalid value */
  SETTINGS_ERROR_MISSING, /* a required setting is not given */
  SETTINGS_ERROR_FLAG,    /* unknown flag, flag without its value, or unexpected argument */
  SETTINGS_ERROR_CONFLICT /* settings that can't be combined */
} settings_error_t;

typedef enum
{
  SETTING_KIND_ROLE,
  SETTING_KIND_NAME,
  SETTING_KIND_ADDRESS,
  SETTING_KIND_SEEDS,   /* comma-separated addresses; may be empty */
  SETTING_KIND_REGIONS, /* comma-separated DATA-CENTRE=REGION; may be empty */
  SETTING_KIND_NUMBER,
  SETTING_KIND_BOOLEAN,
  SETTING_KIND_MILLI,  /* decimal number, stored in thousandths */
  SETTING_KIND_LEVEL,  /* log level */
  SETTING_KIND_SECRET, /* environment only: other users of the host can see flags; never printed */
  SETTING_KIND_SECRET_FILE /* path of a file that contains the secret */
} setting_kind_t;

typedef enum
{
  SETTING_NEED_ALL,     /* required in every role */
  SETTING_NEED_SIDECAR, /* required for a sidecar, refused in other roles */
  SETTING_NEED_GATEWAY, /* required for a gateway, refused in other roles */
  SETTING_NEED_NONE     /* optional: has a default, or another setting replaces it */
} setting_need_t;

/**
 * struct setting - declaration of one setting
 * @name: name of the flag without its dashes
 * @kind: type of the value
 * @need: which roles require it
 * @minimum: smallest number, or shortest secret in bytes
 * @maximum: largest number, or longest secret in bytes
 * @offset: offset of its field in settings_t
 * @default_text: default value, or NULL
 * @help: description for --help and docs/settings.md
 */
typedef struct
{
  const char *name;
  setting_kind_t kind;
  setting_need_t need;
  uint32_t minimum;
  uint32_t maximum;
  size_t offset;
  const char *default_text;
  const char *help;
} setting_t;

/** setting_table() - all settings. Return: a static array of @count elements */
const setting_t *setting_table (uint32_t *count);
/** setting_find() - look up a setting. Return: NULL if there is none of that name */
const setting_t *setting_find (const char *name);
/** setting_env_name() - name of its environment variable, to be freed with g_free() */
char *setting_env_name (const setting_t *setting);
/** setting_is_flag() - whether it can be given as a flag; a secret can't */
bool setting_is_flag (const setting_t *setting);
/** setting_allowed_text() - description of its allowed values, to be freed with g_free() */
char *setting_allowed_text (const setting_t *setting);
/** setting_required_by() - description of the roles that require it; a static text */
const char *setting_required_by (const setting_t *setting);

/**
 * setting_apply() - parse a value and store it in its field of @settings
 * @setting: the setting
 * @text: the value
 * @origin: the flag or environment variable that @text was given by, for the error message
 * @settings: filled in
 * @error: set if the value is invalid
 *
 * Return: false with @error if the value is invalid
 */
bool setting_apply (const setting_t *setting,
                    const char *text,
                    const char *origin,
                    settings_t *settings,
                    GError **error);
/** setting_value_text() - format its value in @settings, except for a secret, as setting_apply()
 * reads it. Return: the text, to be freed with g_free() */
char *setting_value_text (const setting_t *setting, const settings_t *settings);

#endif
