/** \file
 * HTTP requests to the admin address of a node.
 */
#pragma once

#include "ctl/Client.h"

namespace fulmarway {

/** One request on a new connection. aNode must be a numeric address, so that no name is looked up.
 * The timeout bounds the connection and the whole answer together. */
tl::expected<HttpReply, TransportError>
SendHttp(const std::string& aNode, const HttpQuery& aQuery, Duration aTimeout);

} // namespace fulmarway
