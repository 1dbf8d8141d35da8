/**
 * DOC: manifest_sync
 *
 * Lets a daemon whose manifest is out of date fetch the version in force from a peer: formats and
 * parses the response to GET %MANIFEST_SYNC_PATH. An answer seal authenticates the response, so
 * that an attacker can neither forge a version nor replay the response with an old one.
 */
#ifndef VERSION_MANIFEST_SYNC_H
#define VERSION_MANIFEST_SYNC_H

#include "base/position.h"
#include "version/answer_seal.h"
#include "version/manifest.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MANIFEST_SYNC_PATH "/medlarplank/manifest"

/**
 * manifest_sync_format() - format the body of the response; free it with g_free()
 * @nonce: value of ANSWER_SEAL_NONCE_HEADER in the request; NULL when absent, then there is no seal
 * @manifest: the version in force after all records before @next of the manifest stream
 * @seal: receives the value for ANSWER_SEAL_HEADER; "" without a nonce
 */
char *manifest_sync_format (const char *fleet_key,
                            const char *nonce,
                            const manifest_t *manifest,
                            position_t next,
                            char seal[ANSWER_SEAL_BYTES]);

/**
 * manifest_sync_parse() - verify and parse a response
 * @nonce: the one sent with the request
 * @seal: value of ANSWER_SEAL_HEADER in the response; NULL when absent
 * @next: receives the position of the first record after the manifest
 *
 * Return: the manifest with its version, or NULL with @error set
 */
manifest_t *manifest_sync_parse (const char *fleet_key,
                                 const char *nonce,
                                 const char *seal,
                                 const char *body,
                                 size_t body_bytes,
                                 position_t *next,
                                 GError **error);

#endif
