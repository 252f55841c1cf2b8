import {
	fail, limitDownload, succeed, type Result,
} from '@deckwheel/core';
import got, {
	RequestError, type CancelableRequest, type Got, type Response,
} from 'got';
import {z} from 'zod';
import type {ListedHost} from './listed-host.js';
import type {Platform} from './platform.js';
import type {StoreError} from './store-error.js';
import type {StoredObject} from './stored-object.js';

/** Timeout of a call, in ms. The platform usually responds within a few milliseconds. */
const callTimeoutMs = 2000;

/** Timeout of a watch, in ms: somewhat longer than the time after which the platform itself ends a watch without a new version. */
const watchTimeoutMs = 40_000;

/** The largest response that is read, in bytes; a larger one fails its call. Objects and lists of them have up to some MB. */
const maxResponseBytes = 16 * 1024 * 1024;

const objectSchema = z.object({key: z.string(), version: z.number(), value: z.unknown()});
const listSchema = z.object({items: z.array(objectSchema)});
const hostsSchema = z.object({
	hosts: z.array(z.object({
		host: z.string(), hall: z.string(), address: z.string(), state: z.enum(['live', 'leaving']),
	})),
});

/** Codes of connection errors that prove that the platform did not receive the request. */
const notSentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

const storeErrorFromStatus = (status: number): StoreError => {
	switch (status) {
		case 409:
		case 412: {
			return 'conflict';
		}

		case 204:
		case 404: {
			return 'missing';
		}

		case 429: {
			return 'unavailable';
		}

		default: {
			return 'unknown';
		}
	}
};

const storeErrorFromException = (error: unknown): StoreError =>
	error instanceof RequestError && notSentErrorCodes.has(error.code) ? 'unavailable' : 'unknown';

const readBody = <T>(response: Response, schema: z.ZodType<T>): Result<T, StoreError> => {
	if (response.statusCode !== 200) {
		return fail(storeErrorFromStatus(response.statusCode));
	}

	const parsed = schema.safeParse(response.body);
	return parsed.success ? succeed(parsed.data) : fail('unknown');
};

const call = async <T>(request: () => Promise<Response>, schema: z.ZodType<T>): Promise<Result<T, StoreError>> => {
	try {
		return readBody(await request(), schema);
	} catch (error) {
		return fail(storeErrorFromException(error));
	}
};

const limitResponse = async (response: CancelableRequest<Response>): Promise<Response> => limitDownload(response, maxResponseBytes);

const objectPath = (key: string): string => `objects/${encodeURIComponent(key)}`;

const preconditionHeaders = (expectedVersion: number): Readonly<Record<string, string>> =>
	expectedVersion === 0 ? {'if-none-match': '*'} : {'if-match': String(expectedVersion)};

// A 303 asks for a read, whose response is no word on the write.
const keepsMethod = ({statusCode}: Pick<Response, 'statusCode'>): boolean => statusCode !== 303;

const createClient = (url: string): Got => got.extend({
	prefixUrl: url,
	responseType: 'json',
	throwHttpErrors: false,
	retry: {limit: 0},
	timeout: {request: callTimeoutMs},
});

/**
Creates a client of the platform's HTTP API (see docs/protocols.md). The client does not retry failed calls.

@param url The base URL of the API, such as `http://10.0.0.1:8000`.
*/
export const connectPlatform = (url: string): Platform => {
	const client = createClient(url);
	return {
		get: async key => call<StoredObject>(async () => limitResponse(client.get(objectPath(key))), objectSchema),
		async list(prefix) {
			const result = await call(async () => limitResponse(client.get('objects', {searchParams: {prefix}})), listSchema);
			return result.ok ? succeed(result.value.items) : result;
		},
		put: async (key, value, expectedVersion) => call<StoredObject>(
			async () => limitResponse(client.put(objectPath(key), {json: {value}, headers: preconditionHeaders(expectedVersion), followRedirect: keepsMethod})),
			objectSchema,
		),
		watch: async (key, afterVersion, signal) => call<StoredObject>(
			async () => limitResponse(client.get(`watch/${encodeURIComponent(key)}`, {searchParams: {after: afterVersion}, signal, timeout: {request: watchTimeoutMs}})),
			objectSchema,
		),
		async hosts() {
			const result = await call<{hosts: ListedHost[]}>(async () => limitResponse(client.get('hosts')), hostsSchema);
			return result.ok ? succeed(result.value.hosts) : result;
		},
	};
};
