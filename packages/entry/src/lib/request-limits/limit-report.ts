import type {z} from 'zod';
import type {limitReportSchema} from './limit-report-schema.js';

/** An endpoint's limit on requests as a host reports it to a peer. */
export type LimitReport = Readonly<z.infer<typeof limitReportSchema>>;
