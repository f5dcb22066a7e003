#pragma once

namespace lycheespool {

class HttpClient;
class HttpServer;
class IoPool;
class RpcConnection;
struct Address;
struct HttpRequest;
struct HttpResponse;

}
