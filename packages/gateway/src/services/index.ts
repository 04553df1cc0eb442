export { RoutedServices } from './routed-services.js';
