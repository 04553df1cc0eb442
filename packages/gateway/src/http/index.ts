export { HttpClient } from './http-client.js';
export type { HttpCall, HttpResponse, HttpClientOptions } from './http-client.js';
export { closeServer, createJsonServer, listenOn } from './json-server.js';
export type { JsonResponse, JsonHandler } from './json-server.js';
export { readBody } from './read-body.js';
export type { BodyEnd } from './read-body.js';
