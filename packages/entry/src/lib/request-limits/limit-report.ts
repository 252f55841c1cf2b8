import type {z} from 'zod';
import type {limitReportSchema} from './limit-report-schema.js';

/** What a host tells a peer of an endpoint's limit on requests. */
export type LimitReport = Readonly<z.infer<typeof limitReportSchema>>;
