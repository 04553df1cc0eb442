export { RequestRecorder } from './request-recorder.js';
