import type {IncomingHttpHeaders} from 'node:http';

/** The head of a response that an endpoint itself sent. */
export type ResponseHead = {readonly statusCode?: number | undefined; readonly headers: IncomingHttpHeaders};
