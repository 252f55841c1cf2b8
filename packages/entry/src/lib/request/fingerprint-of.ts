import {digestName} from '@deckwheel/core';
import type {RequestIdentity} from './request-identity.js';

/**
Returns the fingerprint of a request, which is the same on every host and each time that the caller retries the request. Pure.

Headers are left out, because some of them differ each time that the request is sent.
*/
export const fingerprintOf = ({method, hostHeader, path, organisation, body}: RequestIdentity): string =>
	digestName(JSON.stringify([method, hostHeader, path, organisation]), body);
