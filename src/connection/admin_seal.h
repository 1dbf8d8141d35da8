/**
 * DOC: admin_seal
 *
 * Seals orders of the command-line tool to a daemon under the fleet key: HMAC-SHA256 over the
 * order, the host's name and the time. An order that was seen on the wire can be sent again for as
 * long as its time is accepted, so only orders that are idempotent are sealed this way.
 */
#ifndef CONNECTION_ADMIN_SEAL_H
#define CONNECTION_ADMIN_SEAL_H

#include <stdbool.h>
#include <stdint.h>

#define SEAL_HEADER "X-Medlarplank-Seal"
#define SEAL_DRAIN "drain"
#define SEAL_WINDOW_S 60 /* a time this far from the daemon's is still accepted */

/** seal_make() - the seal in lower-case hex, to be freed by g_free(); @time_s is Unix time */
char *seal_make (const char *fleet_key, const char *order, const char *host, uint64_t time_s);

/**
 * seal_check() - whether @seal is that of the order and its time is near @now_s
 *
 * Takes as long for a seal that is wrong in its first byte as for one wrong in its last, so that
 * a caller can't find it byte by byte.
 */
bool seal_check (const char *fleet_key,
                 const char *order,
                 const char *host,
                 uint64_t time_s,
                 uint64_t now_s,
                 const char *seal);

#endif
