/**
 * DOC: manifest_sync
 *
 * How a daemon that is behind takes the version in force from another one: the answer to
 * GET %MSY_PATH, sealed with an HMAC-SHA256 under the fleet key. The seal covers a nonce that the
 * asker sent, so that neither a stranger nor somebody who recorded an old answer can make it take
 * a version that was never in force, or an old one for the newest.
 */
#ifndef VERSION_MANIFEST_SYNC_H
#define VERSION_MANIFEST_SYNC_H

#include "version/answer_seal.h"
#include "version/manifest.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MSY_PATH "/medlarplank/manifest"
/**
 * msy_write() - the body of the answer, to be freed by g_free()
 * @nonce: of the request's ASL_NONCE_HEADER; NULL when it had none, then there is no seal
 * @seal: for ASL_SEAL_HEADER; "" without a nonce
 */
char *msy_write (const char *fleet_key,
                 const char *nonce,
                 const man_t *man,
                 uint64_t next_offset,
                 char seal[ASL_SEAL_BYTES]);

/** msy_read() - the manifest in a sealed answer, with its version; NULL with an error otherwise */
man_t *msy_read (const char *fleet_key,
                 const char *nonce,
                 const char *seal,
                 const char *body,
                 size_t body_bytes,
                 uint64_t *next_offset,
                 GError **error);

#endif
