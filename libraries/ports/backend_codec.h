#pragma once

#include <string>
#include <string_view>

#include "http/http.h"
#include "ports/backend_messages.h"

namespace jackdawturn {

// The HTTP and JSON form of the calls to an instance: POST /v1/NAME with a JSON
// body. All functions are thread-safe.

// Returns the path, for example "/v1/write".
std::string TargetOf(const BackendRequest& request);
std::string EncodeRequest(const BackendRequest& request);
// Errors: kNotFound (no such call), kInvalidArgument.
Result<BackendRequest> DecodeRequest(std::string_view target,
                                     std::string_view body);

// Encodes the answer; an error gets the HTTP status of its code.
HttpResponse EncodeResponse(const Result<BackendResponse>& response);
// `request` tells which answer is expected. Errors: the error that the instance
// sent with `peer` added, or kInternal when the answer is not understood.
Result<BackendResponse> DecodeResponse(const BackendRequest& request,
                                       const HttpResponse& response,
                                       const std::string& peer);

// Shared with other HTTP interfaces.
HttpResponse EncodeError(const Error& error);
Error DecodeError(const HttpResponse& response, const std::string& peer);
unsigned StatusOf(ErrorCode code);

}  // namespace jackdawturn
