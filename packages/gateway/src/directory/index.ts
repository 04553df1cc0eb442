export { createDirectoryApp, createReadinessApp } from './directory-app.js';
