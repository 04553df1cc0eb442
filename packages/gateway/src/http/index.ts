export { HttpCalls } from './http-client.js';
export type { Call, CallAnswer, CallSettings } from './http-client.js';
export { closeServer, createJsonServer, listenOn } from './json-server.js';
export type { JsonAnswer, JsonHandler } from './json-server.js';
export { readBody } from './read-body.js';
export type { BodyEnd } from './read-body.js';
