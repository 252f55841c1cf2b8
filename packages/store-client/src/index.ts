export {connectPlatform} from './connect-platform.js';
export type {Platform} from './platform.js';
export type {StoreError} from './store-error.js';
export type {StoredObject} from './stored-object.js';
