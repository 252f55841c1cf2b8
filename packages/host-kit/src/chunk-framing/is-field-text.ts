import {ascii} from './ascii.js';

const {tab, space, deletion} = ascii;

/** Whether a byte may be a part of a field's value or of a chunk's extension: no control character but the tab. Pure. */
export const isFieldText = (byte: number): boolean => (byte >= space && byte !== deletion) || byte === tab;
