import type {IncomingMessage} from 'node:http';
import {isHeaderValue} from './is-header-value.js';

/** The lowest status of a final response (RFC 9110, section 15). A 101 without an upgrade is one that no request asked for. */
const lowestFinalStatus = 200;

/**
Whether the status line of a response is one of HTTP, so that it can be sent on to a caller. Pure.

Node:http reads more than it writes: three digits of any kind as the status, and any bytes as the reason phrase.
*/
export const isValidHead = ({statusCode = 0, statusMessage = ''}: Pick<IncomingMessage, 'statusCode' | 'statusMessage'>): boolean =>
	statusCode >= lowestFinalStatus && isHeaderValue(statusMessage);
