/**
 * DOC: software_versions
 *
 * The software versions of one service's engines, as the registry showed them to this gateway:
 * which have engines now, and which had some lately. A state machine without I/O.
 *
 * A stream goes on only at the version that began it, see version_shares.h.
 */
#ifndef REQUEST_POLICY_ENGINES_SOFTWARE_VERSIONS_H
#define REQUEST_POLICY_ENGINES_SOFTWARE_VERSIONS_H

#include <stdbool.h>
#include <stdint.h>

/* Time in which a client may resume a stream. */
#define SOFTWARE_VERSIONS_LIFETIME_US (UINT64_C (60) * 1000 * 1000)

typedef struct software_versions software_versions_t;

software_versions_t *software_versions_new (void);
void software_versions_free (software_versions_t *versions);
/** software_versions_add() - an engine of @version is in the registry. @is_first_list: it was in
 * the first list that this gateway read, so nobody knows for how long the version has been there */
void software_versions_add (software_versions_t *versions,
                            uint64_t now_us,
                            uint64_t version,
                            bool is_first_list);
/** software_versions_remove() - an engine of @version has left the registry */
void software_versions_remove (software_versions_t *versions, uint64_t now_us, uint64_t version);
/** software_versions_end_first_list() - the first list was read. Of its versions the one with the
 * most engines counts as old, the others may have appeared just now */
void software_versions_end_first_list (software_versions_t *versions, uint64_t now_us);
/** software_versions_is_oldest() - whether @version has engines, and none that has was seen earlier
 */
bool software_versions_is_oldest (const software_versions_t *versions, uint64_t version);
/** software_versions_has() - whether an engine of @version is in the registry */
bool software_versions_has (const software_versions_t *versions, uint64_t version);
/** software_versions_sole() - the only version that has had engines within
 * %SOFTWARE_VERSIONS_LIFETIME_US; 0 when there are none or several */
uint64_t software_versions_sole (const software_versions_t *versions, uint64_t now_us);
/** software_versions_count() - number of versions that have had engines within that time */
uint32_t software_versions_count (const software_versions_t *versions, uint64_t now_us);

#endif
