#include "directory/endpoint.h"

#include "base/digest.h"

namespace orioletrail {

uint64_t processOf(const EndpointRecord& record)
{
    return hash64(record.id, record.processStartMs);
}

} // namespace orioletrail
