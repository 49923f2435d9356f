/**
 * Represents task shapes as jobs, so that the rules for jobs apply to tasks of graphs.
 *
 * @module
 */
import type { JobId, JobSpec, TaskShape } from '@spurbridge/wire';

/** Job id of a specification that is only checked, never submitted. */
const PLACEHOLDER_JOB_ID = 'wk-none' as JobId;

/** A job array of one task of the given shape, without class and team. */
export function jobSpecForShape(shape: TaskShape): JobSpec {
  return {
    id: PLACEHOLDER_JOB_ID,
    class: '',
    team: '',
    kind: 'array',
    priority: 'normal',
    tasks: 1,
    cpus: shape.cpus,
    gpus: shape.gpus,
    memoryGb: shape.memoryGb,
    image: shape.image,
    imageGb: shape.imageGb,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: shape.spot,
    estimateS: shape.estimateS,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
  };
}
