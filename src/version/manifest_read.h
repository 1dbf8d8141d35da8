/**
 * DOC: manifest_read
 *
 * Fills in the tables of a manifest from its document. Accounts, services and classes are sorted
 * by name, so that two readers of one document hold the same tables and look names up by halving.
 */
#ifndef VERSION_MANIFEST_READ_H
#define VERSION_MANIFEST_READ_H

#include "version/manifest.h"

/** mrd_read() - read @man->json; on failure the tables may be filled in part */
bool mrd_read (man_t *man, GError **error);

#endif
