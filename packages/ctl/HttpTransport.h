/** \file
 * HTTP/1.1 transport to the admin address of a node.
 */
#pragma once

#include "ctl/Client.h"

namespace fulmarway {

/** Sends one request on a new connection. aNode must be a numeric address, which avoids a name
 * lookup. aTimeout covers the connection setup, the request and the complete reply. */
tl::expected<HttpReply, TransportError>
SendHttp(const std::string& aNode, const HttpRequest& aRequest, Duration aTimeout);

} // namespace fulmarway
