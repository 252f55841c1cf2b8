import type {IncomingHttpHeaders} from 'node:http';

/** A token (RFC 9110, section 5.6.2). */
const token = /^[\w!#$%&'*+.^`|~-]+$/;

/** Whether node:http writes headers of these names; it throws on any other name, although some of its versions read names with spaces. Pure. */
export const hasValidNames = (headers: IncomingHttpHeaders): boolean => Object.keys(headers).every(name => token.test(name));
