import {tooManyInformationalCode} from '../sending/limit-informational.js';

/** How the codes of errors begin by which node:http says that bytes are no response of HTTP. */
const parseErrorPrefix = 'HPE_';

/** Whether the code of an error says that bytes are no response of HTTP. Pure. */
export const isParseError = (code: string): boolean => code.startsWith(parseErrorPrefix) || code === tooManyInformationalCode;
