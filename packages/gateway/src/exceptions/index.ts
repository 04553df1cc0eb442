export { EXCEPTION_ORIGINS, ExceptionRecorder } from './exception-recorder.js';
export type { ExceptionHandler, ExceptionOrigin } from './exception-recorder.js';
