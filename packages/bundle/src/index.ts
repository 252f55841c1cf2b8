export {adoptBundle} from './adopt-bundle.js';
export type {AdoptedBundle} from './adopted-bundle.js';
export type {Bundle} from './bundle.js';
export {checkBundle} from './check-bundle.js';
export {hashApiKey} from './hash-api-key.js';
export {signText} from './sign-text.js';
export {signedBundleSchema} from './signed-bundle-schema.js';
export type {SignedBundle} from './signed-bundle.js';
export type {TrustedKey} from './trusted-key.js';
